package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// strandInterval is the time between checks for stranded jobs.
const strandInterval = 2 * time.Second

// avoidTimeout is how long a queued task avoids the endpoints on which it failed.
// After that it may run on any endpoint.
const avoidTimeout = 10 * time.Second

// strandLoop hands over stranded jobs to other placers. A job is stranded if the
// endpoints that could run its queued tasks have left or have another owner now. It
// also lets tasks run at endpoints that they have avoided for avoidTimeout.
func (d *Driver) strandLoop(ctx context.Context) {
	for d.timer.Sleep(ctx, strandInterval) == nil {
		for _, j := range d.allJobs() {
			d.dropAvoided(j)
			if d.stranded(j) && !d.forward(ctx, j, wire.ReasonBusy) {
				// A failed handover has removed the tasks from the queue.
				d.submit(j)
			}
		}
	}
}

// dropAvoided queues a job's tasks again without endpoints to avoid if some of them
// have waited for avoidTimeout, since there may be no other endpoint.
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

// dropAvoidedLocked clears the endpoints that queued tasks have avoided for
// avoidTimeout, and reports whether there were any.
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

// stranded reports whether a job has queued tasks that this placer's endpoints
// couldn't run even if they were idle.
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
