package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// strandPeriod is the time between two looks for jobs that wait where no
// endpoint can run them.
const strandInterval = 2 * time.Second

// avoidTime is how long a task waits for another endpoint than those that
// failed it. After that it may run at any.
const avoidTimeout = 10 * time.Second

// strandLoop lets tasks run at endpoints that they have avoided for long. It
// passes jobs on whose tasks wait here although the endpoints that could run
// them have gone to another placer since they were queued.
func (d *Driver) strandLoop(ctx context.Context) {
	for d.timer.Sleep(ctx, strandInterval) == nil {
		for _, j := range d.allJobs() {
			d.dropAvoided(j)
			if d.stranded(j) && !d.forward(ctx, j, wire.ReasonBusy) {
				// A job that couldn't be given up has left the queue; it is
				// tried again from there.
				d.submit(j)
			}
		}
	}
}

// relent queues a job again, without the endpoints that failed them, if tasks
// of it have waited for long: there may be no other endpoint.
func (d *Driver) dropAvoided(j *job) {
	j.mu.Lock()
	again := j.dropAvoidedLocked(d.timer.Boot())
	if again {
		d.dequeueLocked(j)
	}
	j.mu.Unlock()
	if again {
		d.submit(j)
	}
}

// relentLocked forgets the endpoints that waiting tasks have avoided for
// avoidTime, and reports whether there are any.
func (j *job) dropAvoidedLocked(now time.Duration) bool {
	found := false
	for n := range j.tasks {
		t := &j.tasks[n]
		if t.queued && len(t.avoid) > 0 && now-t.queuedSince >= avoidTimeout {
			t.avoid, found = nil, true
		}
	}
	return found
}

// stranded reports whether tasks of a job wait that no endpoint here could run
// even if nothing else ran.
func (d *Driver) stranded(j *job) bool {
	j.mu.Lock()
	active, waiting := j.activeLocked(), 0
	needs, gang := j.row.Request.Needs, j.row.Request.Kind == wire.Gang
	for n := range j.tasks {
		if j.tasks[n].queued {
			waiting++
		}
	}
	j.mu.Unlock()
	if !active || waiting == 0 {
		return false
	}
	if !gang {
		waiting = 1
	}
	return !d.queue.Fits(needs, waiting)
}
