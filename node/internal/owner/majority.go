package owner

import "time"

// majority is the part of the executors that has to follow an owner for it to extend
// leases for long without the store. Two owners that know the executors but for some
// can't both have one.
const majority = 0.6

// followed reports whether a majority of the executors followed this owner a moment ago.
// The term's mu is held.
func (t *term) followed() bool {
	now, n := t.owner.clock.Boot(), 0
	for _, a := range t.agents {
		if !a.silent && now-a.answered <= proofTime {
			n++
		}
	}
	return float64(n) >= majority*float64(len(t.agents))
}

// taken shortens the wait for executors that don't answer once a majority has answered
// this owner at now: the last owner has lost its own by then, and extends leases no
// further. The term's mu is held.
func (t *term) taken(now time.Time) {
	if t.settling || !t.listed {
		return
	}
	heard := 0
	for _, a := range t.agents {
		if a.heard {
			heard++
		}
	}
	if float64(heard) < majority*float64(len(t.agents)) {
		return
	}
	t.settling = true
	slowest := time.Duration(float64(max(t.bounds.Lease, proofTime+leaseTime)) / slowestClock)
	t.settled = min(t.settled, now.Sub(t.began)+slowest+settleMargin)
	t.plan.AdvanceSettleDeadline(t.began.Add(t.settled))
}
