package exec

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// resolve returns the final event of a run whose answer was lost or incomplete.
// An idempotent run is stopped first, so that a retry can't run beside it. The
// outcome is Failed if the run is known to have ended, even successfully, since
// its answer is lost; otherwise it is Unknown. The capacity stays reserved until
// the endpoint reports that the task has ended or can't begin any more.
func (j *run) resolve(o queue.Order, pass *hold.Pass, p *pendingStart, cause error) *wire.Event {
	event := &wire.Event{
		Outcome: wire.Unknown, Reason: reasonOf(cause), Detail: cause.Error(), Endpoint: o.Endpoint, Epoch: o.Epoch,
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.resolveTimeout())
	defer cancel()
	for {
		state, code, known := j.findEnd(ctx, o, pass, p)
		if known {
			j.runner.pending.remove(p)
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
		if j.runner.timer.Sleep(ctx, resolvePeriod) != nil {
			j.runner.pending.abandon(p)
			return event
		}
	}
}

func (j *run) resolveTimeout() time.Duration {
	if j.deadline.IsZero() {
		return maxResolveTime
	}
	return min(maxResolveTime, max(j.deadline.Sub(j.runner.timer.Now()), resolvePeriod))
}

// findEnd looks for the end of a run in the endpoint's earlier reports and in
// its current view. known is whether the run is over. The state is empty if
// the run can't begin any more, and either never began or ended unseen.
func (j *run) findEnd(ctx context.Context, o queue.Order, pass *hold.Pass, p *pendingStart) (state point.State, code int, known bool) {
	if state, known := j.runner.queue.EndState(o); known {
		return state, 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	id := queue.TaskID(j.req.ID, o.Task)
	answered := p != nil && j.runner.sendStop(ctx, p)
	view, err := j.runner.client.View(ctx, pass.Address())
	if err != nil {
		return "", 0, false
	}
	task := findTask(&view, id, o.Attempt)
	if task == nil && answered {
		// The endpoint may have reported and deleted the task in the meantime.
		state, _ := j.runner.queue.EndState(o)
		return state, 0, true
	}
	if task == nil || !task.State.Ended() {
		return "", 0, false
	}
	return task.State, task.Code, true
}

// reasonOf returns the reason code for a lost or incomplete answer.
func reasonOf(err error) string {
	var cut *point.AnswerError
	if errors.As(err, &cut) {
		return wire.ReasonShort
	}
	return wire.ReasonLost
}

func findTask(view *point.View, id string, attempt uint32) *point.Task {
	for i := range view.Tasks {
		if t := &view.Tasks[i]; t.ID == id && t.Attempt == attempt {
			return t
		}
	}
	return nil
}
