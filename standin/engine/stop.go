package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Stop stops, checkpoints or throttles a task. It doesn't change a task that has
// ended. An attempt whose start hasn't arrived yet is refused when it does,
// unless the mode is to throttle. An unknown mode gives a *point.RefusedError.
func (e *Endpoint) Stop(ctx context.Context, in point.Stop) error {
	if err := e.beforeCall(ctx, in.Holder); err != nil {
		return err
	}
	err := e.stop(in)
	if lost := e.afterCall(); lost != nil {
		return lost
	}
	return err
}

func (e *Endpoint) stop(in point.Stop) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkOwnerLocked(in.Owner, "stop"); err != nil {
		return err
	}
	key := taskKey{in.ID, in.Attempt}
	t := e.attempts.byKey[key]
	if t == nil {
		if in.Mode != point.ModeThrottle {
			e.attempts.add(key, nil)
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

// throttleLocked divides the speed and the CPU use of the task by
// throttleFactor.
func (e *Endpoint) throttleLocked(t *task) {
	if t.throttled {
		return
	}
	frozen := e.faults.Freeze
	if !frozen {
		e.pauseLocked(t)
	}
	t.throttled = true
	t.used.CPU /= throttleFactor
	if !frozen {
		e.resumeLocked(t)
	}
	e.timer.After(e.usageLag, func() { e.reportUsage(t) })
}
