package bench

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// failAfter is the time after which a task on a broken worker fails.
const failAfter = 50 * time.Millisecond

// start carries out a decision and simulates its task to the end.
func (d *driver) start(c sched.Decision) {
	key := taskKey{c.ID, c.Task}
	if d.allocations[key] != nil {
		d.result.startedTwice++
	}
	h, j := d.hosts[c.Endpoint], d.jobs[c.ID]
	l := &allocation{job: j, number: c.Task, host: h, needs: c.Needs}
	d.allocations[key] = l
	h.reserved = h.reserved.Add(c.Needs)
	if !h.reserved.Fits(h.capacity) {
		d.result.overcommitted++
	}
	d.usage.addWaiting(j, -1)
	d.usage.addHeld(j, c.Needs)
	d.starts++
	if d.starts%startsPerUnsent == 0 && j.item.Kind != wire.Gang {
		d.clock.After(startDelay, func() { d.unsent(l) })
		return
	}
	l.end = d.clock.After(startDelay, func() { d.started(l) })
}

func (d *driver) unsent(l *allocation) {
	d.release(l)
	d.usage.addWaiting(l.job, 1)
	d.engine.Unsent(l.job.item.ID, l.number)
}

func (d *driver) started(l *allocation) {
	j := l.job
	l.started, l.since = true, d.clock.Now()
	d.result.starts++
	d.result.recordWait(kindLabel(&j.item), l.since.Sub(j.waitingSince[l.number]))
	d.engine.Started(j.item.ID, l.number)
	l.host.used = l.host.used.Add(actualNeeds(j, l.needs))
	run := l.host.slowedRunTime(j.remaining[l.number])
	if l.host.broken && j.item.Kind != wire.Service {
		run = failAfter
	}
	l.end = d.clock.After(run, func() { d.ended(l) })
}

// slowedRunTime returns the duration of a run on the host. It is longer if the
// host's tasks use more processors than the host has when the run starts.
func (h *host) slowedRunTime(run time.Duration) time.Duration {
	if h.capacity.CPU == 0 || h.used.CPU <= h.capacity.CPU {
		return run
	}
	return time.Duration(float64(run) * float64(h.used.CPU) / float64(h.capacity.CPU))
}

// actualNeeds returns the actual usage of a task: its declared needs with their
// error, but at most the granted memory.
func actualNeeds(j *job, granted wire.Needs) wire.Needs {
	n := j.item.Needs
	n.CPU = int64(float64(n.CPU) * j.usedRatio)
	n.Mem = min(int64(float64(n.Mem)*j.usedRatio), granted.Mem)
	return n
}

func kindLabel(item *sched.Item) string {
	if item.Urgent && item.Kind != wire.Quick {
		return "urgent"
	}
	return string(item.Kind)
}

func (d *driver) release(l *allocation) {
	delete(d.allocations, taskKey{l.job.item.ID, l.number})
	l.host.reserved = l.host.reserved.Sub(l.needs)
	if l.started {
		l.host.used = l.host.used.Sub(actualNeeds(l.job, l.needs))
	}
	d.usage.addHeld(l.job, wire.Needs{}.Sub(l.needs))
	d.changed = true
}

func (d *driver) ended(l *allocation) {
	j := l.job
	d.release(l)
	if l.host.broken && j.item.Kind != wire.Service {
		d.result.failed++
		d.engine.Ended(j.item.ID, l.number, false)
		if j.item.Kind == wire.Batch {
			d.resubmit(l, j.remaining[l.number])
		}
		return
	}
	d.result.work += j.remaining[l.number].Seconds() * float64(j.item.Needs.CPU) / 1000
	d.engine.Ended(j.item.ID, l.number, true)
}

// preempt ends a task with a checkpoint and submits the remaining work again.
func (d *driver) preempt(c sched.Decision) {
	l := d.allocations[taskKey{c.ID, c.Task}]
	if l == nil || !l.started {
		return
	}
	d.result.preempts++
	if !l.end.Stop() {
		return
	}
	d.clock.After(checkpointDelay, func() {
		ran := min(d.clock.Now().Sub(l.since)-checkpointDelay, l.job.remaining[l.number])
		d.result.work += ran.Seconds() * float64(l.job.item.Needs.CPU) / 1000
		d.release(l)
		d.engine.Ended(c.ID, c.Task, true)
		d.resubmit(l, l.job.remaining[l.number]-ran)
	})
}

// resubmit submits one task again with the remaining run time.
func (d *driver) resubmit(l *allocation, left time.Duration) {
	j := l.job
	j.remaining[l.number] = left
	j.waitingSince[l.number] = d.clock.Now()
	item := j.item
	item.Numbers, item.Attempt = []int{l.number}, item.Attempt+1
	if d.engine.Submit(item) == nil {
		d.usage.addWaiting(j, 1)
	}
}
