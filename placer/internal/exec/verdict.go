package exec

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// verdict says what is known of a run whose answer didn't come whole. A run
// that may be repeated is stopped first, so that it isn't repeated beside
// itself. The outcome is Failed once the run is known to have ended, also if
// it was done, since its answer can't be had any more; otherwise it is
// Unknown. The room stays taken until the endpoint says that the task has
// ended or can't begin any more.
func (j *run) verdict(o desk.Order, pass *hold.Pass, left *pending, cause error) *wire.Event {
	event := &wire.Event{
		Outcome: wire.Unknown, Reason: reason(cause), Detail: cause.Error(), Endpoint: o.Endpoint, Epoch: o.Epoch,
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.fateTime())
	defer cancel()
	for {
		state, code, known := j.fate(ctx, o, pass, left)
		if known {
			j.runner.starts.drop(left)
			j.runner.queue.Ended(o, state == point.Done)
			if state == "" {
				return event
			}
			event.Outcome, event.Code = wire.Failed, code
			if state == point.Failed {
				event.Reason = wire.ReasonError
			}
			return event
		}
		if j.runner.timer.Sleep(ctx, fatePeriod) != nil {
			j.runner.starts.giveUp(left)
			return event
		}
	}
}

func (j *run) fateTime() time.Duration {
	if j.deadline.IsZero() {
		return fateTime
	}
	return min(fateTime, max(j.deadline.Sub(j.runner.timer.Now()), fatePeriod))
}

// fate looks for the end of a run: in what the endpoint reported, and in what
// it says now. The state is empty if the run may have ended unseen or not
// begun, and will not begin.
func (j *run) fate(ctx context.Context, o desk.Order, pass *hold.Pass, left *pending) (state point.State, code int, known bool) {
	if state, known := j.runner.queue.Fate(o); known {
		return state, 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	id := desk.TaskID(j.req.ID, o.Task)
	stopped := left != nil && j.runner.stopped(ctx, left)
	view, err := j.runner.client.View(ctx, pass.Address())
	if err != nil {
		return "", 0, false
	}
	task := find(&view, id, o.Attempt)
	if task == nil && stopped {
		// An end that was reported meanwhile has been forgotten there.
		state, _ := j.runner.queue.Fate(o)
		return state, 0, true
	}
	if task == nil || !task.State.Ended() {
		return "", 0, false
	}
	return task.State, task.Code, true
}

// reason returns the code for an answer that didn't come whole.
func reason(err error) string {
	var cut *point.AnswerError
	if errors.As(err, &cut) {
		return wire.ReasonShort
	}
	return wire.ReasonLost
}

func find(view *point.View, id string, attempt uint32) *point.Task {
	for i := range view.Tasks {
		if t := &view.Tasks[i]; t.ID == id && t.Attempt == attempt {
			return t
		}
	}
	return nil
}
