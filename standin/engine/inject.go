package engine

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
)

// Faults returns the current fault switches.
func (e *Endpoint) Faults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces all fault switches.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.faults
	e.faults = f
	if old.Leaving != f.Leaving {
		reason := "off"
		if f.Leaving {
			reason = "on"
		}
		e.record(Event{Event: Leave, Reason: reason})
	}
	if old.Freeze != f.Freeze {
		e.freezeLocked(f.Freeze)
	}
	e.notifyLocked()
}

// beforeCall injects the faults that act before a call of holder takes effect.
// It returns a *point.LostError if the call must not take effect.
func (e *Endpoint) beforeCall(ctx context.Context, holder string) error {
	if slow := e.Faults().Slow; slow > 0 {
		if err := e.timer.Sleep(ctx, slow); err != nil {
			return e.lost(err)
		}
	}
	for {
		e.mu.Lock()
		frozen, changed, off := e.faults.Freeze, e.changed, e.faults.Down || e.faults.cutsOff(holder)
		e.mu.Unlock()
		if off {
			return e.lost(&downError{})
		}
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return e.lost(ctx.Err())
		}
	}
}

// afterCall injects the faults that act after a call has taken effect. It
// returns a *point.LostError if the response is lost.
func (e *Endpoint) afterCall() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Next > 0 {
		e.faults.Next--
		return e.lost(&downError{})
	}
	if e.faults.Lose || e.faults.Down {
		return e.lost(&downError{})
	}
	return nil
}

func (e *Endpoint) lost(err error) error {
	return &point.LostError{Endpoint: e.name, Err: err}
}

// downError is the cause of a *point.LostError due to a fault switch.
type downError struct{}

// Error implements error.
func (*downError) Error() string { return "no answer" }
