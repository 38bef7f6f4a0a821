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
const maxSends = 4

// start sends the start of one task, whose attempt has been written.
func (d *Driver) start(ctx context.Context, j *job, o desk.Order) {
	d.sent(ctx, j, o, d.send(ctx, &j.row.Request, o))
}

// sent notes what became of the start of one task.
func (d *Driver) sent(ctx context.Context, j *job, o desk.Order, f fate) {
	switch f.Fate {
	case begun:
		d.running(j, o)
	case unsent:
		d.unstarted(ctx, j, []desk.Order{o}, f.Avoid)
	default:
		j.mu.Lock()
		if t := &j.tasks[o.Task]; t.order == o && t.live {
			t.doubt = true
		}
		j.mu.Unlock()
	}
}

// send sends the start of one task at an endpoint that this placer owned when
// the order was given.
func (d *Driver) send(ctx context.Context, req *wire.Request, o desk.Order) fate {
	out := fate{Task: o.Task, Fate: unsent}
	pass, err := d.owner.Enter(o.Endpoint, o.Epoch)
	if err != nil {
		return out
	}
	defer pass.Done()
	d.counts.starts.Inc(1)
	in := message(req, o, pass)
	// Once an answer was lost only success tells anything: a later send can be
	// refused although the earlier one began, or still will.
	lost := false
	for range maxSends {
		if !pass.Valid() {
			break
		}
		if err = d.startOnce(ctx, pass, in); err == nil {
			pass.Answered()
			out.Fate = begun
			return out
		}
		reason, surely := unstartedBy(err)
		if surely && lost {
			break
		}
		if surely {
			if reason == wire.ReasonLeaving {
				d.owner.Leaving(o.Endpoint)
			}
			out.Avoid = o.Endpoint
			return out
		}
		lost = true
		if d.timer.Sleep(ctx, pause/2) != nil {
			break
		}
	}
	d.log.Warn("start got no answer", zap.String("id", o.ID), zap.Int("task", o.Task), zap.String("endpoint", o.Endpoint), zap.Error(err))
	out.Fate = unsure
	return out
}

func (d *Driver) startOnce(ctx context.Context, pass *hold.Pass, in point.Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.client.Start(ctx, pass.Address(), in)
}

// unstartedBy reports whether a start that failed with err surely didn't
// happen, and the endpoint's reason.
func unstartedBy(err error) (reason string, surely bool) {
	var refused *point.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason, true
	}
	var fenced *point.FencedError
	if errors.As(err, &fenced) {
		return wire.ReasonFenced, true
	}
	return "", false
}

// message returns the start of one task.
func message(req *wire.Request, o desk.Order, pass *hold.Pass) point.Start {
	return point.Start{
		Owner: pass.Owner(), ID: desk.TaskID(o.ID, o.Task), Attempt: o.Attempt, Team: req.Team, Queue: req.Queue,
		Kind: req.Kind, Name: req.Name, Needs: o.Needs, Lease: pass.Lease(), Body: req.Body,
	}
}

// running notes that the task of an order runs.
func (d *Driver) running(j *job, o desk.Order) {
	d.queue.Started(o)
	j.mu.Lock()
	t := &j.tasks[o.Task]
	current := t.order == o && t.live
	if current {
		t.doubt = false
		j.runLocked(o.Task)
	}
	j.mu.Unlock()
	if current {
		d.save(j)
	}
}

// runLocked notes that a task runs.
func (j *job) runLocked(n int) {
	j.row.Tasks[n].Phase = wire.Running
	if j.row.Phase != wire.Ended {
		j.row.Phase = wire.Running
	}
	j.editLocked()
}
