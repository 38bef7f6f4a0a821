package owner

import (
	"time"

	"github.com/balsamford/balsamford/node/internal/board"
)

// clockRate bounds by how much the rates of the store's clock and of a host's may
// differ.
const clockRate = 0.01

// storeTime returns what the store's clock shows now at least and at most, and
// false if it was never read.
func (o *Owner) storeTime() (least, most time.Duration, ok bool) {
	if o.ticks == nil {
		return 0, 0, false
	}
	t, ok := o.ticks.ClockReading()
	if !ok {
		return 0, 0, false
	}
	now := o.clock.Boot()
	least = t.Now + time.Duration(float64(now-t.Received)*(1-clockRate))
	most = t.Now + time.Duration(float64(now-t.Sent)*(1+clockRate))
	return least, most, true
}

// lapses returns when all leases at the closed executors that don't answer have surely
// ended, on the store's clock. What was found once stays, unless the executor
// answers again. The term's mu is held.
func (t *term) lapses(closed []string, now time.Time) map[string]time.Duration {
	_, most, ok := t.owner.storeTime()
	if !ok {
		return nil
	}
	out := make(map[string]time.Duration)
	for _, id := range closed {
		if at, known := t.lapseAt[id]; known {
			out[id] = at
			continue
		}
		a := t.agents[id]
		left := t.began.Add(t.settled).Sub(now)
		switch {
		case a != nil && !a.silent:
			continue // Its leases may still be extended.
		case a != nil && a.heard:
			left = a.lease.left(now)
		}
		t.lapseAt[id] = most + max(0, left)
		out[id] = t.lapseAt[id]
	}
	return out
}

// inherit takes over which executors the last owner had closed, and when leases end
// there. The term's mu is held.
func (t *term) inherit(closed board.Closed, now time.Time) {
	if least, _, ok := t.owner.storeTime(); ok {
		t.inheritLapses(closed.Lapses, least, now)
	}
	t.plan.RestoreClosed(closed.Executors, closed.Unsure, t.lapseBy)
}

// inheritLapses takes over when leases end, while the store's clock shows least at
// least. The term's mu is held.
func (t *term) inheritLapses(lapses map[string]time.Duration, least time.Duration, now time.Time) {
	for id, at := range lapses {
		t.lapseAt[id] = at
		t.lapseBy[id] = now.Add(time.Duration(float64(max(0, at-least)) * (1 + clockRate)))
	}
}

// lapseTime returns when nothing that earlier owners started can run any more at an
// executor that doesn't answer. The term's mu is held.
func (t *term) lapseTime(id string) time.Time {
	if by, ok := t.lapseBy[id]; ok {
		return by
	}
	return t.began.Add(t.settled)
}
