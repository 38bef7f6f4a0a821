package jobs

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// submit queues the waiting tasks. A gang is queued only as a whole, once none of its
// tasks is live.
func (d *Driver) submit(j *job) {
	j.mu.Lock()
	err := d.submitLocked(j)
	j.mu.Unlock()
	var refused *sched.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	d.spawn(func(ctx context.Context) { d.handleRefusal(ctx, j, refused) })
}

// submitLocked queues the waiting tasks here or at other placers. The error is that
// of Queue.Submit.
func (d *Driver) submitLocked(j *job) error {
	item := j.itemLocked()
	if len(item.Numbers) == 0 || j.reserving {
		return nil
	}
	d.offloadLocked(j, &item)
	if len(item.Numbers) == 0 {
		return nil
	}
	err := d.queue.Submit(item)
	for _, n := range item.Numbers {
		j.tasks[n].queued, j.tasks[n].localOnly, j.tasks[n].queuedSince = err == nil, false, d.timer.Boot()
	}
	if err == nil {
		j.gangRestart, j.noFitRounds = false, 0
	}
	return err
}

// itemLocked returns a queue item with the tasks that wait and aren't queued. Its
// Numbers are empty if none may be queued now.
func (j *job) itemLocked() sched.Item {
	req := &j.row.Request
	item := sched.Item{
		ID: req.ID, Team: req.Team, Queue: req.Queue, Kind: req.Kind, Name: req.Name, Needs: req.Needs,
		Runtime: req.Runtime, Deadline: j.deadline, Urgent: req.Urgent, Once: !req.Idempotent,
		Avoid: append([]string(nil), req.Avoid...),
	}
	if !j.activeLocked() || (req.Kind == wire.Gang && j.liveLocked() > 0) {
		return item
	}
	for n := range j.tasks {
		t := &j.tasks[n]
		if t.queued || t.remote != "" || t.live || j.row.Tasks[n].Outcome != "" {
			continue
		}
		item.Numbers = append(item.Numbers, n)
		item.Attempt = max(item.Attempt, j.row.Tasks[n].Attempt+1)
		item.Avoid = append(item.Avoid, t.avoid...)
	}
	item.Tasks = len(item.Numbers)
	return item
}

// handleRefusal handles the scheduler's refusal to queue a job's tasks. It ends tasks
// that miss the deadline or that a team limit forbids at every placer, forwards the
// job if this placer's endpoints can't run it, and otherwise submits it again after a
// delay.
func (d *Driver) handleRefusal(ctx context.Context, j *job, e *sched.RefusedError) {
	switch {
	case e.Reason == wire.ReasonDeadline, e.Team:
		d.endUnstarted(j, e.Reason)
	default:
		if e.Reason == wire.ReasonNever || !d.queue.Fits(j.row.Request.Needs, 1) {
			if d.forward(ctx, j, e.Reason) {
				return
			}
		}
		if d.timer.Sleep(ctx, 2*retryDelay) == nil {
			d.submit(j)
		}
	}
}

// endUnstarted ends all tasks of a job that aren't live. reason is stored in the row.
func (d *Driver) endUnstarted(j *job, reason string) {
	d.queue.Cancel(j.id())
	j.mu.Lock()
	for n := range j.tasks {
		if j.tasks[n].live || j.row.Tasks[n].Outcome != "" {
			continue
		}
		j.tasks[n].queued, j.tasks[n].remote = false, ""
		j.endTaskLocked(n, unstartedOutcome(&j.row.Tasks[n]))
	}
	j.row.Reason = reason
	j.concludeLocked()
	j.mu.Unlock()
	d.queueWrite(j)
}

// unstartedOutcome returns the outcome of a waiting task that will not be started:
// failed if it had an earlier attempt.
func unstartedOutcome(t *wire.JobTask) wire.Outcome {
	if t.Attempt == 0 {
		return wire.NotRun
	}
	return wire.Failed
}

// Expired implements queue.Jobs.
func (d *Driver) Expired(id string, _ []int) {
	if j := d.find(id); j != nil {
		d.endUnstarted(j, wire.ReasonDeadline)
	}
}
