package owner

import (
	"time"

	"go.uber.org/zap"
)

const (
	// authorityTime is how long after ownership was confirmed runs may start
	// without further proof: less than another host waits until it takes over.
	authorityTime = 1100 * time.Millisecond
	// boardTime is the same for a look at the board, which shows no other owner.
	// One that takes over a silent owner starts nothing for as long.
	boardTime = 300 * time.Millisecond
	// proofTime is how old an executor's answer may be to show that no other host
	// has taken it over.
	proofTime = 1200 * time.Millisecond
)

// mayStart reports whether runs may start: ownership was confirmed a moment ago,
// or, while the store doesn't answer, all executors that answered then still
// follow this owner. An owner that is cut off from some of them may have a
// successor there, which starts the same tasks. The term's mu is held.
func (t *term) mayStart() bool {
	now := t.owner.clock.Boot()
	if now < t.quietUntil {
		return false
	}
	if now-t.confirmed <= authorityTime || now-t.owner.pacer.Confirmed() <= boardTime {
		return true
	}
	since := max(t.confirmed+authorityTime, now-proofTime)
	for _, a := range t.agents {
		if a.answered < since && (!a.silent || a.answered > t.confirmed-authorityTime) {
			return false
		}
	}
	return len(t.agents) > 0
}

// pause holds starts back or lets them go on. The term's mu is held.
func (t *term) pause(paused bool) {
	if paused != t.paused {
		t.paused = paused
		silent := 0
		for _, a := range t.agents {
			if a.silent {
				silent++
			}
		}
		t.owner.logger.Info("starts", zap.Bool("paused", paused), zap.Int64("epoch", t.epoch), zap.Duration("confirmed", t.owner.clock.Boot()-t.confirmed),
			zap.Int("executors", len(t.agents)), zap.Int("silent", silent))
	}
	t.plan.Pause(paused)
}

// unconfirmed reports whether ownership hasn't been confirmed for a while, so that
// executors have to be asked more often. The term's mu is held.
func (t *term) unconfirmed() bool { return t.owner.clock.Boot()-t.confirmedAt() > authorityTime }

// confirmedAt returns when ownership was last known to hold. The term's mu is held.
func (t *term) confirmedAt() time.Duration { return max(t.confirmed, t.owner.pacer.Confirmed()) }
