package route

import "time"

const (
	// probeTime is how long a placer may say nothing to requests that were sent
	// to it until it is asked for its load out of turn.
	probeTime = 100 * time.Millisecond
	// silentTime is how long that question may stay unanswered until the placer
	// gets new requests only if there is no other.
	silentTime = 100 * time.Millisecond
)

// Visit is one request at a placer, from its sending to its end. Its methods
// may be called concurrently.
type Visit struct {
	table *Table
	name  string
}

// Enter counts a request on its way to a placer.
func (t *Table) Enter(name string) *Visit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.views[name]; v != nil {
		v.inflight++
		if v.asked.IsZero() {
			v.asked = t.clock.Now()
		}
	}
	return &Visit{table: t, name: name}
}

// Heard notes that the placer has said something.
func (v *Visit) Heard() {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	if w := v.table.views[v.name]; w != nil {
		w.heard()
	}
}

// Leave ends the request's count.
func (v *Visit) Leave() {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	w := v.table.views[v.name]
	if w == nil {
		return
	}
	if w.inflight--; w.inflight == 0 {
		w.heard()
	}
}

// heard forgets that the placer owes a word.
func (v *view) heard() { v.asked, v.probed = time.Time{}, time.Time{} }

// silentLocked reports whether a placer owes a word for so long that it is
// likely to be dead or paused. It asks for the probe that decides so.
func (t *Table) silentLocked(v *view, now time.Time) bool {
	if v.asked.IsZero() || now.Sub(v.asked) < probeTime {
		return false
	}
	if v.probed.IsZero() {
		select {
		case t.probes <- v.Placer:
			v.probed = now
		default: // the next request tries again
		}
		return false
	}
	return now.Sub(v.probed) >= silentTime
}
