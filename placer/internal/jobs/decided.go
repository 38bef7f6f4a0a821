package jobs

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// Decided implements queue.Jobs.
func (d *Driver) Decided(id string, orders []queue.Order) {
	owned := append([]queue.Order(nil), orders...)
	d.spawn(func(ctx context.Context) {
		starts := owned[:0]
		for _, o := range owned {
			if o.Preempt {
				d.preempt(ctx, o)
				continue
			}
			starts = append(starts, o)
		}
		if len(starts) > 0 {
			d.startDecided(ctx, id, starts)
		}
	})
}

// startDecided writes the attempts of decided tasks and then sends their starts.
// Decisions for reservations and foreign jobs are stored there instead, and outdated
// decisions are undone.
func (d *Driver) startDecided(ctx context.Context, id string, orders []queue.Order) {
	j := d.find(id)
	if j == nil && d.foreignJobs.handleDecision(id, orders) || (j == nil || j.isReserving()) && d.reservations.handleDecision(id, orders) {
		return
	}
	if j == nil || !j.markSent(orders) {
		if j == nil || !j.stale(orders) {
			d.queue.Cancel(id)
		}
		for _, o := range orders {
			d.queue.Unsent(o)
		}
		return
	}
	if err := d.flush(ctx, j); err != nil {
		d.requeueUnstarted(ctx, j, orders, "")
		return
	}
	for _, o := range orders {
		d.spawn(func(ctx context.Context) { d.start(ctx, j, o) })
	}
}

// markSent records that the starts of the orders are about to be sent. It reports
// false, and records nothing, if the job's tasks must no longer be started or the
// orders are stale.
func (j *job) markSent(orders []queue.Order) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.activeLocked() || j.staleLocked(orders) {
		return false
	}
	for _, o := range orders {
		j.tasks[o.Task].order, j.tasks[o.Task].live, j.tasks[o.Task].queued = o, true, false
		j.tasks[o.Task].remote = ""
		t := &j.row.Tasks[o.Task]
		t.Attempt, t.Endpoint, t.Epoch, t.Phase = o.Attempt, o.Endpoint, o.Epoch, wire.Sent
	}
	if j.row.Phase == wire.Queued || j.row.Phase == "" {
		j.row.Phase = wire.Sent
	}
	j.changeLocked()
	return true
}

// stale reports whether the orders are for only part of a gang. Such a decision was
// made for a reservation that has been released since.
func (j *job) stale(orders []queue.Order) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.staleLocked(orders)
}

func (j *job) staleLocked(orders []queue.Order) bool {
	waiting := 0
	for n := range j.tasks {
		if !j.tasks[n].live && j.row.Tasks[n].Outcome == "" {
			waiting++
		}
	}
	return j.row.Request.Kind == wire.Gang && len(orders) < waiting
}

// requeueUnstarted queues tasks again that didn't start and never will under these
// orders. The live tasks of a gang are stopped before it is queued again. If avoid
// isn't empty the tasks avoid that endpoint.
func (d *Driver) requeueUnstarted(ctx context.Context, j *job, orders []queue.Order, avoid string) {
	gang := j.row.Request.Kind == wire.Gang
	j.mu.Lock()
	for _, o := range orders {
		t := &j.tasks[o.Task]
		if t.order != o || !t.live {
			continue
		}
		t.live, t.inDoubt, t.queued = false, false, false
		t.avoid = addAvoid(t.avoid, avoid)
		j.row.Tasks[o.Task].Phase, j.row.Tasks[o.Task].Endpoint = wire.Queued, ""
	}
	j.gangRestart = gang
	j.changeLocked()
	d.dequeueLocked(j)
	for _, o := range orders {
		d.queue.Unsent(o)
	}
	j.mu.Unlock()
	d.queueWrite(j)
	if gang {
		d.stopAll(ctx, j)
	}
	d.submitAfterDelay(ctx, j)
}

// dequeueLocked removes all waiting tasks from the queue. If the job is cancelled
// they get their outcome.
func (d *Driver) dequeueLocked(j *job) {
	d.queue.Cancel(j.id())
	for n := range j.tasks {
		t := &j.tasks[n]
		t.queued, t.remote = false, ""
		if j.row.Cancel && !t.live && j.row.Tasks[n].Outcome == "" {
			j.endTaskLocked(n, unstartedOutcome(&j.row.Tasks[n]))
		}
	}
	j.concludeLocked()
}

// submitAfterDelay queues the waiting tasks after retryDelay.
func (d *Driver) submitAfterDelay(ctx context.Context, j *job) {
	if d.timer.Sleep(ctx, retryDelay) == nil {
		d.submit(j)
	}
}

// maxAvoid bounds the endpoints that a task avoids.
const maxAvoid = 8

// addAvoid appends an endpoint to the ones that a task avoids and drops the oldest
// beyond maxAvoid.
func addAvoid(list []string, name string) []string {
	if name == "" {
		return list
	}
	list = append(list, name)
	return list[max(0, len(list)-maxAvoid):]
}

// preempt checkpoints a task to free its capacity for urgent work. A task that may
// run only once is left running.
func (d *Driver) preempt(ctx context.Context, o queue.Order) {
	if j := d.find(o.ID); j != nil && !j.mayRestart() {
		return
	}
	d.stopTask(ctx, stopRequest{ID: o.ID, Task: o.Task, Attempt: o.Attempt, Endpoint: o.Endpoint, Mode: point.ModeCheckpoint})
}

// mayRestart reports whether the job's tasks may be started again after they ran.
func (j *job) mayRestart() bool {
	return j.row.Request.Idempotent
}
