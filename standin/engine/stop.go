package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Stop ends, checkpoints or throttles a task. A task that has ended stays as
// it is; one that hasn't come yet will not be started.
func (e *Endpoint) Stop(ctx context.Context, in point.Stop) error {
	if err := e.enter(ctx, in.Holder); err != nil {
		return err
	}
	err := e.stop(in)
	if lost := e.leave(); lost != nil {
		return lost
	}
	return err
}

func (e *Endpoint) stop(in point.Stop) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.ownedLocked(in.Owner, "stop"); err != nil {
		return err
	}
	key := taskKey{in.ID, in.Attempt}
	t := e.seen.byKey[key]
	if t == nil {
		if in.Mode != point.ModeThrottle {
			e.seen.add(key, nil)
		}
		return nil
	}
	if t.state.Ended() {
		return nil
	}
	switch in.Mode {
	case point.ModeStop:
		e.endLocked(t, point.Stopped, 0)
	case point.ModeCheckpoint:
		e.endLocked(t, point.Saved, 0)
	case point.ModeThrottle:
		e.throttleLocked(t)
	default:
		return &point.RefusedError{Endpoint: e.name, Reason: wire.ReasonInvalid}
	}
	return nil
}

// throttleLocked halves what the task uses and slows its work.
func (e *Endpoint) throttleLocked(t *task) {
	if t.throttled {
		return
	}
	frozen := e.faults.Freeze
	if !frozen {
		e.restLocked(t)
	}
	t.throttled = true
	t.used.CPU /= throttleFactor
	if !frozen {
		e.workLocked(t)
	}
	e.timer.After(e.lag, func() { e.measure(t) })
}
