package owner

import (
	"time"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// If the owner's zone is partitioned from the others, the owner continues to start runs
// in its zone until it notices that its ownership isn't confirmed, and a successor in
// another zone can't query the executors of that zone. So a run on an executor of the
// owner's zone is recorded before it starts. In other zones that would only add latency.

// writeAheadZone returns this host's zone if another zone has hosts, which could take
// over when this zone is partitioned. Otherwise it returns the empty string.
func (o *Owner) writeAheadZone() string {
	for _, h := range o.board.Hosts() {
		if o.zone != "" && h.Zone != o.zone {
			return o.zone
		}
	}
	return ""
}

// avoidUnconfirmedZone places work in other zones while writes aren't confirmed, including
// starts that wait for their record. The term's mu is held.
func (t *term) avoidUnconfirmedZone(now time.Time) {
	if t.writeAheadZone == "" || t.owner.clock.Boot()-t.writeConfirmed <= t.authority {
		t.plan.AvoidZone("")
		return
	}
	t.plan.AvoidZone(t.writeAheadZone)
	for _, held := range t.heldStarts {
		for _, s := range held {
			t.refuse(now, s, plan.RefusedLate)
		}
	}
	clear(t.heldStarts)
}

// holdStart holds a start back until it is recorded, if the executor's zone requires that,
// and reports whether it does. The term's mu is held.
func (t *term) holdStart(sess *session, s plan.Start) bool {
	if t.writeAheadZone == "" || sess.info.Zone != t.writeAheadZone {
		return false
	}
	t.heldStarts[s.Task.Job] = append(t.heldStarts[s.Task.Job], s)
	return true
}

// releaseStarts sends the held starts of a job that a recorded change includes, unless they
// are obsolete. The term's mu is held.
func (t *term) releaseStarts(c *plan.Change, now time.Time) {
	held := t.heldStarts[c.Job]
	if len(held) == 0 {
		return
	}
	delete(t.heldStarts, c.Job)
	rest := held[:0]
	for _, s := range held {
		switch sess := t.sessions[s.Executor]; {
		case s.Version > c.Version:
			rest = append(rest, s)
		case sess != nil && t.plan.StillWanted(now, &s):
			sess.enqueue(order{start: &s})
		default:
			t.refuse(now, s, plan.RefusedNumber)
		}
	}
	if len(rest) > 0 {
		t.heldStarts[c.Job] = rest
	}
}

// writeInterval returns the least time until the next write. More is set if the last one
// couldn't hold all changes.
func (t *term) writeInterval(more bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if more || len(t.heldStarts) > 0 {
		return urgentWriteInterval
	}
	return minWriteInterval
}
