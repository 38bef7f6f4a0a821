package lease

import "time"

// Watch tells when the task leases of an endpoint that can't be reached have
// run out. The endpoint counts a lease from the arrival of a renewal, and a
// renewal that got no answer may arrive late, for instance at an endpoint that
// was suspended. It can only take effect while the lease still holds. So a
// Watch allows one unanswered renewal at a time, and what can be relied on is
// the last contact plus a lease for each renewal in force or under way. It is
// not safe for concurrent use.
type Watch struct {
	length  time.Duration
	contact time.Duration // when the last answer came
	pending bool          // a renewal was sent and not answered since
}

// NewWatch returns a Watch for leases of the given length, with a first
// contact at now.
func NewWatch(length, now time.Duration) *Watch {
	return &Watch{length: length, contact: now}
}

// Length returns the length of the leases.
func (w *Watch) Length() time.Duration { return w.length }

// MayRenew reports whether a renewal may be sent: the one before has been
// answered, or a probe has.
func (w *Watch) MayRenew() bool { return !w.pending }

// Sent notes that a renewal is about to leave.
func (w *Watch) Sent() { w.pending = true }

// Unsent takes Sent back: the renewal surely didn't leave.
func (w *Watch) Unsent() { w.pending = false }

// Answered notes at now that a renewal or a probe was answered.
func (w *Watch) Answered(now time.Duration) {
	w.contact, w.pending = max(w.contact, now), false
}

// Touch notes that a lease may have been granted at now by another call that
// was answered.
func (w *Watch) Touch(now time.Duration) { w.contact = max(w.contact, now) }

// End returns from when on no task of the endpoint runs unless a later
// renewal reached it.
func (w *Watch) End() time.Duration {
	span := w.length
	if w.pending {
		span += w.length
	}
	return w.contact + span + Margin(span)
}

// Over reports whether all task leases have run out at now.
func (w *Watch) Over(now time.Duration) bool { return now >= w.End() }
