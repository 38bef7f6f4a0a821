package bench

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// failAfter is how long a broken worker takes to fail a task.
const failAfter = 50 * time.Millisecond

// start follows a decision to the task's end.
func (d *driver) start(c sched.Decision) {
	key := taskKey{c.ID, c.Task}
	if d.lives[key] != nil {
		d.result.twice++
	}
	h, j := d.hosts[c.Endpoint], d.jobs[c.ID]
	l := &live{job: j, number: c.Task, host: h, needs: c.Needs}
	d.lives[key] = l
	h.given = h.given.Add(c.Needs)
	if !h.given.Fits(h.capacity) {
		d.result.over++
	}
	d.teams.wait(j, -1)
	d.teams.hold(j, c.Needs)
	d.starts++
	if d.starts%unsentRate == 0 && j.item.Kind != wire.Gang {
		d.clock.After(startDelay, func() { d.unsent(l) })
		return
	}
	l.end = d.clock.After(startDelay, func() { d.started(l) })
}

func (d *driver) unsent(l *live) {
	d.release(l)
	d.teams.wait(l.job, 1)
	d.engine.Unsent(l.job.item.ID, l.number)
}

func (d *driver) started(l *live) {
	j := l.job
	l.started, l.since = true, d.clock.Now()
	d.result.starts++
	d.result.wait(label(&j.item), l.since.Sub(j.began[l.number]))
	d.engine.Started(j.item.ID, l.number)
	l.host.used = l.host.used.Add(real(j, l.needs))
	run := l.host.stretch(j.left[l.number])
	if l.host.broken && j.item.Kind != wire.Service {
		run = failAfter
	}
	l.end = d.clock.After(run, func() { d.ended(l) })
}

// stretch returns how long a run takes on a host whose tasks want more
// processors than it has, as it stands when the run starts.
func (h *host) stretch(run time.Duration) time.Duration {
	if h.capacity.CPU == 0 || h.used.CPU <= h.capacity.CPU {
		return run
	}
	return time.Duration(float64(run) * float64(h.used.CPU) / float64(h.capacity.CPU))
}

// real returns what a task uses: what it declares, taken wrong, but never
// more memory than it was given.
func real(j *job, granted wire.Needs) wire.Needs {
	n := j.item.Needs
	n.CPU = int64(float64(n.CPU) * j.used)
	n.Mem = min(int64(float64(n.Mem)*j.used), granted.Mem)
	return n
}

func label(item *sched.Item) string {
	if item.Urgent && item.Kind != wire.Quick {
		return "urgent"
	}
	return string(item.Kind)
}

func (d *driver) release(l *live) {
	delete(d.lives, taskKey{l.job.item.ID, l.number})
	l.host.given = l.host.given.Sub(l.needs)
	if l.started {
		l.host.used = l.host.used.Sub(real(l.job, l.needs))
	}
	d.teams.hold(l.job, wire.Needs{}.Sub(l.needs))
	d.dirty = true
}

func (d *driver) ended(l *live) {
	j := l.job
	d.release(l)
	if l.host.broken && j.item.Kind != wire.Service {
		d.result.failed++
		d.engine.Ended(j.item.ID, l.number, false)
		if j.item.Kind == wire.Batch {
			d.again(l, j.left[l.number])
		}
		return
	}
	d.result.work += j.left[l.number].Seconds() * float64(j.item.Needs.CPU) / 1000
	d.engine.Ended(j.item.ID, l.number, true)
}

// preempt checkpoints a task and submits it again.
func (d *driver) preempt(c sched.Decision) {
	l := d.lives[taskKey{c.ID, c.Task}]
	if l == nil || !l.started {
		return
	}
	d.result.preempts++
	if !l.end.Stop() {
		return
	}
	d.clock.After(saveDelay, func() {
		ran := min(d.clock.Now().Sub(l.since)-saveDelay, l.job.left[l.number])
		d.result.work += ran.Seconds() * float64(l.job.item.Needs.CPU) / 1000
		d.release(l)
		d.engine.Ended(c.ID, c.Task, true)
		d.again(l, l.job.left[l.number]-ran)
	})
}

// again submits one task once more, to run for the time that is left.
func (d *driver) again(l *live, left time.Duration) {
	j := l.job
	j.left[l.number] = left
	j.began[l.number] = d.clock.Now()
	item := j.item
	item.Numbers, item.Attempt = []int{l.number}, item.Attempt+1
	if d.engine.Submit(item) == nil {
		d.teams.wait(j, 1)
	}
}
