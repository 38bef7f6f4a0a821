package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	// resignAttempts is how often an owner that stops tries to resign. A response may be
	// lost, and the next attempt then learns the outcome.
	resignAttempts = 3
	// resignTimeout bounds all attempts together. While the store doesn't answer, other
	// hosts take over later without a resignation, and the process has to exit in time.
	resignTimeout = 1500 * time.Millisecond
)

// finish resigns when the process stops. A term that ended because ownership was lost or
// given up has nothing to hand over.
func (r *recorder) finish(ctx context.Context) error {
	cause := context.Cause(ctx)
	var lost *OwnershipLostError
	var yield *YieldError
	if !errors.As(cause, &lost) && !errors.As(cause, &yield) && !r.resigned && !r.inDoubt {
		r.resign()
	}
	return cause
}

// resign records that this host gives up ownership, and offers it to the successors. No
// run starts from then on.
func (r *recorder) resign() {
	t := r.term
	t.mu.Lock()
	t.resigning = true
	frozen := t.frozen // The hand-over was cut short; what a host holds of the state isn't used.
	t.frozen = false
	t.mu.Unlock()
	if frozen {
		t.owner.logger.Info("state not handed over in time", zap.Int64("epoch", t.epoch))
	}
	if r.writeResignation(r.collect) {
		t.owner.offer(r.row, r.version, putOutcome{})
	}
}

// writeResignation writes the owner's row as one of a host that gives up ownership. It returns false if that
// isn't known to have succeeded.
func (r *recorder) writeResignation(next func() batch) bool {
	t := r.term
	giveUp := make(chan struct{})
	timeout := t.owner.clock.After(resignTimeout, func() { close(giveUp) })
	defer timeout.Stop()
	r.giveUp = giveUp
	defer func() { r.giveUp = nil }()
	began := t.owner.clock.Now()
	var err error
	for range resignAttempts {
		if t.owner.clock.Now().Sub(began) >= resignTimeout {
			break
		}
		r.row.Resigned = true
		if err = r.write(next()); err == nil {
			return true
		}
	}
	r.row.Resigned, r.inDoubt = false, true
	t.owner.logger.Warn("ownership not handed over", zap.Int64("epoch", t.epoch), zap.Error(err))
	return false
}

// resignationUndone lets the owner go on once a write has succeeded after a resignation that may have been
// written: no other host has taken over.
func (r *recorder) resignationUndone() {
	if !r.inDoubt {
		return
	}
	r.inDoubt = false
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unfreeze()
}
