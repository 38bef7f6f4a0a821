package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// strandPeriod is the time between two looks for jobs that wait where no
// endpoint can run them.
const strandPeriod = 2 * time.Second

// strandLoop passes jobs on whose tasks wait here although the endpoints that
// could run them have gone to another placer since they were queued.
func (d *Driver) strandLoop(ctx context.Context) {
	for d.timer.Sleep(ctx, strandPeriod) == nil {
		for _, j := range d.all() {
			if d.stranded(j) && !d.passOn(ctx, j, wire.ReasonBusy) {
				// A job that couldn't be given up has left the queue; it is
				// tried again from there.
				d.submit(j)
			}
		}
	}
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
