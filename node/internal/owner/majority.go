package owner

import "time"

// majorityShare is the share of the executors that must follow an owner for it to extend
// leases without the store for long. It is above one half, so that two owners whose
// lists of executors differ slightly can't both have a majority.
const majorityShare = 0.6

// hasMajority reports whether a majority of the executors recently responded to this
// owner. The term's mu is held.
func (t *term) hasMajority() bool {
	now, n := t.owner.clock.Boot(), 0
	for _, sess := range t.sessions {
		if !sess.silent && now-sess.lastResponse <= maxProofAge {
			n++
		}
	}
	return float64(n) >= majorityShare*float64(len(t.sessions))
}

// shortenSettle shortens the wait for executors that don't respond once a majority has
// responded to this owner. The last owner has lost its majority by then and extends leases
// no further. The term's mu is held.
func (t *term) shortenSettle(now time.Time) {
	if t.settleShortened || !t.entriesLoaded {
		return
	}
	responded := 0
	for _, sess := range t.sessions {
		if sess.hasReported {
			responded++
		}
	}
	if float64(responded) < majorityShare*float64(len(t.sessions)) {
		return
	}
	t.settleShortened = true
	slowest := time.Duration(float64(max(t.bounds.Lease, maxProofAge+leaseDuration)) / minClockRate)
	t.settleTime = min(t.settleTime, now.Sub(t.began)+slowest+settleMargin)
	t.plan.AdvanceSettleDeadline(t.began.Add(t.settleTime))
}
