package owner

import (
	"time"

	"go.uber.org/zap"
)

const (
	// leastAuthority is how long at least a write lets its owner start work
	// without another one: two heartbeats and a write that is tried again.
	leastAuthority = 450 * time.Millisecond
	// mostAuthority bounds it while the store is slow: executors' leases have to
	// outlast a takeover.
	mostAuthority = 2 * time.Second
	// writesCovered is how many writes of the usual time have to fit into an
	// owner's authority beside two heartbeats.
	writesCovered = 3
	// boardTime is the same for a look at the board, which shows no other owner.
	// One that takes over a silent owner starts nothing for as long.
	boardTime = 150 * time.Millisecond
	// proofTime is how old an executor's answer may be to show that no other host
	// has taken it over.
	proofTime = 1200 * time.Millisecond
)

// authorityFor returns how long the next write is to let its owner act, when
// writes usually take typical.
func authorityFor(typical time.Duration) time.Duration {
	return min(mostAuthority, max(leastAuthority, 2*beatPeriod+writesCovered*typical))
}

// limit notes that a write with that authority may come into force. The term's mu
// is held.
func (t *term) limit(authority time.Duration) { t.authority = min(t.authority, authority) }

// mayStart reports whether runs may start: ownership was confirmed a moment ago,
// or, while the store doesn't answer, all executors that answered then still
// follow this owner. An owner that is cut off from some of them may have a
// successor there, which starts the same tasks. The term's mu is held.
func (t *term) mayStart() bool {
	now := t.owner.clock.Boot()
	if t.leaving || now < t.quietUntil {
		return false
	}
	if now-t.confirmed <= t.authority || now-t.owner.pacer.Confirmed() <= boardTime {
		return true
	}
	since := max(t.confirmed+t.authority, now-proofTime)
	for _, a := range t.agents {
		if a.answered < since && (!a.silent || a.answered > t.confirmed-t.authority) {
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
		if paused {
			t.askAll()
		}
	}
	t.plan.Pause(paused)
}

// askAll has all executors that answer asked at once whether they still follow this
// owner: their held calls would show it up to a second later. The term's mu is held.
func (t *term) askAll() {
	if t.leaving || t.owner.clock.Boot() < t.quietUntil {
		return // No answer would let runs start.
	}
	for _, a := range t.agents {
		if !a.silent {
			notify(a.doubt)
		}
	}
}

// unconfirmed reports whether ownership hasn't been confirmed for a while, so that
// executors have to be asked more often. The term's mu is held.
func (t *term) unconfirmed() bool { return t.owner.clock.Boot()-t.confirmedAt() > t.authority }

// confirmedAt returns when ownership was last known to hold. The term's mu is held.
func (t *term) confirmedAt() time.Duration { return max(t.confirmed, t.owner.pacer.Confirmed()) }
