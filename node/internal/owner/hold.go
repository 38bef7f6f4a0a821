package owner

import (
	"time"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// Fault: a zone is cut off with the owner in it. The owner goes on starting runs there
// until it knows that its ownership isn't confirmed, and a successor can't ask the
// executors of that zone. So a run on an executor of the owner's own zone is recorded
// before it starts; in other zones that would only cost time.

// heldZone returns the zone of this host if there are hosts in others that could succeed
// it when the zone is cut off.
func (o *Owner) heldZone() string {
	for _, h := range o.board.Hosts() {
		if o.zone != "" && h.Zone != o.zone {
			return o.zone
		}
	}
	return ""
}

// avoidHeld lets work go to other zones while records aren't confirmed, also what waits
// for one. The term's mu is held.
func (t *term) avoidHeld(now time.Time) {
	if t.zone == "" || t.owner.clock.Boot()-t.confirmed <= t.authority {
		t.plan.AvoidZone("")
		return
	}
	t.plan.AvoidZone(t.zone)
	for _, held := range t.held {
		for _, s := range held {
			t.plan.Refused(now, s, plan.RefusedLate)
		}
	}
	clear(t.held)
}

// hold keeps a start back until it is recorded and reports whether it has to be. The
// term's mu is held.
func (t *term) hold(a *agent, s plan.Start) bool {
	if t.zone == "" || a.info.Zone != t.zone {
		return false
	}
	t.held[s.Task.Job] = append(t.held[s.Task.Job], s)
	return true
}

// release gives out the starts of a job that a recorded change names, unless they
// aren't wanted any more. The term's mu is held.
func (t *term) release(c *plan.Change, now time.Time) {
	held := t.held[c.Job]
	if len(held) == 0 {
		return
	}
	delete(t.held, c.Job)
	rest := held[:0]
	for _, s := range held {
		switch a := t.agents[s.Executor]; {
		case s.Version > c.Version:
			rest = append(rest, s)
		case a != nil && t.plan.Wanted(&s):
			a.give(order{start: &s})
		default:
			t.plan.Refused(now, s, plan.RefusedNumber)
		}
	}
	if len(rest) > 0 {
		t.held[c.Job] = rest
	}
}

// recordGap returns the least time until the next write.
func (t *term) recordGap() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.held) > 0 {
		return heldGap
	}
	return recordGap
}
