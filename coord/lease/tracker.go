package lease

import "time"

// Tracker computes when the task leases of an unreachable endpoint have expired.
// The endpoint measures a lease from the arrival of a renewal, and an
// unanswered renewal may arrive late, for instance because the endpoint was
// suspended. It takes effect only if the previous lease is still valid then. So
// a Tracker allows one unanswered renewal at a time, and the leases end at the
// latest one lease after the last contact, or two if a renewal is unanswered.
// It is not safe for concurrent use.
type Tracker struct {
	length  time.Duration
	contact time.Duration // clock reading at the last answer
	pending bool          // a renewal is unanswered
}

// NewTracker returns a Tracker for leases of the given length whose last contact
// was at now.
func NewTracker(length, now time.Duration) *Tracker {
	return &Tracker{length: length, contact: now}
}

// Length returns the length of the leases.
func (t *Tracker) Length() time.Duration { return t.length }

// MayRenew reports whether a renewal may be sent. It may not while an earlier
// one is unanswered and no probe has been answered since.
func (t *Tracker) MayRenew() bool { return !t.pending }

// Sent records that a renewal is about to be sent.
func (t *Tracker) Sent() { t.pending = true }

// Unsent reverts Sent for a renewal that is known not to have been sent.
func (t *Tracker) Unsent() { t.pending = false }

// Answered records that a renewal or a probe was answered at now.
func (t *Tracker) Answered(now time.Duration) {
	t.contact, t.pending = max(t.contact, now), false
}

// Touch records that another answered call, such as a start, may have granted a
// lease at now.
func (t *Tracker) Touch(now time.Duration) { t.contact = max(t.contact, now) }

// End returns the clock reading from which on no task of the endpoint runs,
// provided that no further renewal is sent.
func (t *Tracker) End() time.Duration {
	span := t.length
	if t.pending {
		span += t.length
	}
	return t.contact + span + Margin(span)
}

// Over reports whether all task leases have expired at now.
func (t *Tracker) Over(now time.Duration) bool { return now >= t.End() }
