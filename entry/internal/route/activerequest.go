package route

import "time"

const (
	// probeAfter is how long a placer may leave requests unanswered before an
	// immediate poll of its load, the probe.
	probeAfter = 100 * time.Millisecond
	// probeTimeout is how long the probe may remain unanswered before the placer
	// gets requests only if no other placer is available.
	probeTimeout = 100 * time.Millisecond
)

// ActiveRequest is one request in progress at a placer. Its methods may be called
// concurrently.
type ActiveRequest struct {
	table *Table
	name  string
}

// Enter counts a request that is about to be sent to a placer. The caller must
// call Leave once when the request ends.
func (t *Table) Enter(name string) *ActiveRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.states[name]; v != nil {
		v.inflight++
		if v.unansweredSince.IsZero() {
			v.unansweredSince = t.clock.Now()
		}
	}
	return &ActiveRequest{table: t, name: name}
}

// Answered records that the placer has answered.
func (v *ActiveRequest) Answered() {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	if w := v.table.states[v.name]; w != nil {
		w.clearUnanswered()
	}
}

// Leave removes the request from the count.
func (v *ActiveRequest) Leave() {
	v.table.mu.Lock()
	defer v.table.mu.Unlock()
	w := v.table.states[v.name]
	if w == nil {
		return
	}
	if w.inflight--; w.inflight == 0 {
		w.clearUnanswered()
	}
}

// clearUnanswered marks the placer as having no unanswered request or probe.
func (v *placerState) clearUnanswered() { v.unansweredSince, v.probeSentAt = time.Time{}, time.Time{} }

// unresponsiveLocked reports whether a placer has left both a request and a probe
// unanswered for so long that it is probably dead or paused. It queues the probe
// when probeAfter has passed.
func (t *Table) unresponsiveLocked(v *placerState, now time.Time) bool {
	if v.unansweredSince.IsZero() || now.Sub(v.unansweredSince) < probeAfter {
		return false
	}
	if v.probeSentAt.IsZero() {
		select {
		case t.probes <- v.Placer:
			v.probeSentAt = now
		default: // The queue is full; the next request tries again.
		}
		return false
	}
	return now.Sub(v.probeSentAt) >= probeTimeout
}
