package jobs

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// maxStartTries bounds how often one start is sent. Starts are idempotent: the
// endpoint answers a repeated attempt as it did the first one.
const maxStartTries = 4

// start sends the start of one task, whose attempt has been written.
func (d *Driver) start(ctx context.Context, j *job, o queue.Order) {
	d.handleStartResult(ctx, j, o, d.sendStart(ctx, &j.row.Request, o))
}

// handleStartResult records the result of starting one task. An unknown result puts
// the task in doubt.
func (d *Driver) handleStartResult(ctx context.Context, j *job, o queue.Order, res startResult) {
	switch res.Status {
	case started:
		d.markRunning(j, o)
	case notStarted:
		d.requeueUnstarted(ctx, j, []queue.Order{o}, res.Avoid)
	default:
		j.mu.Lock()
		if t := &j.tasks[o.Task]; t.order == o && t.live {
			t.inDoubt = true
		}
		j.mu.Unlock()
	}
}

// sendStart sends the start of one task to its endpoint. The result is notStarted if
// this placer no longer owns the endpoint under the epoch of the order.
func (d *Driver) sendStart(ctx context.Context, req *wire.Request, o queue.Order) startResult {
	out := startResult{Task: o.Task, Status: notStarted}
	pass, err := d.owner.Enter(o.Endpoint, o.Epoch)
	if err != nil {
		return out
	}
	defer pass.Done()
	d.counts.starts.Inc(1)
	in := newStart(req, o, pass)
	// After a lost answer only success is conclusive: the endpoint can refuse a
	// later send although an earlier one has started the task or still will.
	lost := false
	for range maxStartTries {
		if !pass.Valid() {
			break
		}
		if err = d.startOnce(ctx, pass, in); err == nil {
			pass.Answered()
			out.Status = started
			return out
		}
		reason, refused := refusalReason(err)
		if refused && lost {
			break
		}
		if refused {
			if reason == wire.ReasonLeaving {
				d.owner.Leaving(o.Endpoint)
			}
			out.Avoid = o.Endpoint
			return out
		}
		lost = true
		if d.timer.Sleep(ctx, retryDelay/2) != nil {
			break
		}
	}
	d.log.Warn("result of start unknown", zap.String("id", o.ID), zap.Int("task", o.Task), zap.String("endpoint", o.Endpoint), zap.Error(err))
	out.Status = startUnknown
	return out
}

// startOnce sends a start once and waits for the answer.
func (d *Driver) startOnce(ctx context.Context, pass *hold.Pass, in point.Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.client.Start(ctx, pass.Address(), in)
}

// refusalReason reports whether err is the endpoint's refusal of a start, and its
// reason. After any other error the task may have started.
func refusalReason(err error) (reason string, refused bool) {
	var refusal *point.RefusedError
	if errors.As(err, &refusal) {
		return refusal.Reason, true
	}
	var fenced *point.FencedError
	if errors.As(err, &fenced) {
		return wire.ReasonFenced, true
	}
	return "", false
}

// newStart returns the message that starts one task.
func newStart(req *wire.Request, o queue.Order, pass *hold.Pass) point.Start {
	return point.Start{
		Owner: pass.Owner(), ID: queue.TaskID(o.ID, o.Task), Attempt: o.Attempt, Team: req.Team, Queue: req.Queue,
		Kind: req.Kind, Name: req.Name, Needs: o.Needs, Lease: pass.Lease(), Body: req.Body,
	}
}

// markRunning records that the task of an order runs, unless the attempt has ended
// since.
func (d *Driver) markRunning(j *job, o queue.Order) {
	d.queue.Started(o)
	j.mu.Lock()
	t := &j.tasks[o.Task]
	current := t.order == o && t.live
	if current {
		t.inDoubt = false
		j.setRunningLocked(o.Task)
	}
	j.mu.Unlock()
	if current {
		d.queueWrite(j)
	}
}

// setRunningLocked sets the phase of a task, and of its job, to running.
func (j *job) setRunningLocked(n int) {
	j.row.Tasks[n].Phase = wire.Running
	if j.row.Phase != wire.Ended {
		j.row.Phase = wire.Running
	}
	j.changeLocked()
}
