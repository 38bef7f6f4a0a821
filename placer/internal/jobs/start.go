package jobs

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// maxSends bounds how often one start is sent. The endpoint answers the same
// attempt as the first time.
const maxStartTries = 4

// start sends the start of one task, whose attempt has been written.
func (d *Driver) start(ctx context.Context, j *job, o desk.Order) {
	d.handleStartResult(ctx, j, o, d.sendStart(ctx, &j.row.Request, o))
}

// sent notes what became of the start of one task.
func (d *Driver) handleStartResult(ctx context.Context, j *job, o desk.Order, res startResult) {
	switch res.Status {
	case started:
		d.markRunning(j, o)
	case notStarted:
		d.requeueUnstarted(ctx, j, []desk.Order{o}, res.Avoid)
	default:
		j.mu.Lock()
		if t := &j.tasks[o.Task]; t.order == o && t.live {
			t.inDoubt = true
		}
		j.mu.Unlock()
	}
}

// send sends the start of one task at an endpoint that this placer owned when
// the order was given.
func (d *Driver) sendStart(ctx context.Context, req *wire.Request, o desk.Order) startResult {
	out := startResult{Task: o.Task, Status: notStarted}
	pass, err := d.owner.Enter(o.Endpoint, o.Epoch)
	if err != nil {
		return out
	}
	defer pass.Done()
	d.counts.starts.Inc(1)
	in := newStart(req, o, pass)
	// Once an answer was lost only success tells anything: a later send can be
	// refused although the earlier one began, or still will.
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
	d.log.Warn("start got no answer", zap.String("id", o.ID), zap.Int("task", o.Task), zap.String("endpoint", o.Endpoint), zap.Error(err))
	out.Status = startUnknown
	return out
}

func (d *Driver) startOnce(ctx context.Context, pass *hold.Pass, in point.Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.client.Start(ctx, pass.Address(), in)
}

// unstartedBy reports whether a start that failed with err surely didn't
// happen, and the endpoint's reason.
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

// message returns the start of one task.
func newStart(req *wire.Request, o desk.Order, pass *hold.Pass) point.Start {
	return point.Start{
		Owner: pass.Owner(), ID: desk.TaskID(o.ID, o.Task), Attempt: o.Attempt, Team: req.Team, Queue: req.Queue,
		Kind: req.Kind, Name: req.Name, Needs: o.Needs, Lease: pass.Lease(), Body: req.Body,
	}
}

// running notes that the task of an order runs.
func (d *Driver) markRunning(j *job, o desk.Order) {
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

// runLocked notes that a task runs.
func (j *job) setRunningLocked(n int) {
	j.row.Tasks[n].Phase = wire.Running
	if j.row.Phase != wire.Ended {
		j.row.Phase = wire.Running
	}
	j.changeLocked()
}
