package exec

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// verdict says what is known of a run whose answer didn't come whole. The room
// stays taken until the endpoint says that the task has ended. The answer
// itself can't be had any more, so a run that was done is failed for its
// caller, with a reason that tells it apart from one that never ended well.
func (j *run) verdict(o desk.Order, pass *hold.Pass, cause error) *wire.Event {
	event := &wire.Event{
		Outcome: wire.Unknown, Reason: reason(cause), Detail: cause.Error(), Endpoint: o.Endpoint, Epoch: o.Epoch,
	}
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	view, err := j.runner.client.View(ctx, pass.Address())
	if err != nil || view.Owner != pass.Owner() {
		return event
	}
	task := find(&view, desk.TaskID(j.req.ID, o.Task), o.Attempt)
	if task == nil || !task.State.Ended() {
		return event
	}
	j.runner.queue.Ended(o, task.State == point.Done)
	event.Outcome, event.Code = wire.Failed, task.Code
	if task.State != point.Done {
		event.Reason = wire.ReasonError
	}
	return event
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
