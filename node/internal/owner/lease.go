package owner

import "time"

const (
	// leaseDuration is how long executors keep running without the owner. It is long
	// enough for another host to take over, and short so that work of a lost executor
	// restarts elsewhere soon.
	leaseDuration = 5 * time.Second
	// unconfirmedExtension is how much longer than Bounds.Lease an owner extends
	// leases while the store doesn't confirm its ownership, provided that a majority
	// of the executors follows it. A successor without a majority waits this much
	// longer for executors that it can't reach.
	unconfirmedExtension = 4 * time.Second
	// settleMargin covers the difference between clock rates over the longest wait.
	settleMargin = 500 * time.Millisecond
	// expiryMargin covers the resolution of executors' clocks.
	expiryMargin = 50 * time.Millisecond
	// clockResolution is more than the resolution of executors' clocks.
	clockResolution = 10 * time.Millisecond
	// minClockRate is the lowest rate of an executor's clock relative to this host's.
	minClockRate = 0.98
)

// lease tracks an executor's clock and the latest lease that the executor may have.
type lease struct {
	clock       time.Duration // last reading of the executor's clock
	clockReadAt time.Time     // local time of the reading, zero if there is none
	latestEnd   time.Duration // latest lease end that any owner may have sent, on the executor's clock
}

// assumeEarlierLease assumes, at the executor's first response to this owner, that an
// earlier owner has just granted a lease of the longest duration. Earlier owners can't
// extend leases after this response.
func (l *lease) assumeEarlierLease(clock, longest time.Duration) {
	if !l.known() {
		l.latestEnd = clock + longest
	}
}

// observeClock records a reading of the executor's clock from a response received at
// the given time.
func (l *lease) observeClock(clock time.Duration, at time.Time) {
	if clock > 0 {
		l.clock, l.clockReadAt = clock, at
	}
}

// known reports whether the executor's clock was read.
func (l *lease) known() bool { return !l.clockReadAt.IsZero() }

// precedes reports whether a reading of the clock, from an answer to a call that was sent at
// sentAt, is lower than the executor's clock was by then. It is of another life in that case.
func (l *lease) precedes(clock time.Duration, sentAt time.Time) bool {
	if !l.known() || clock <= 0 || sentAt.Before(l.clockReadAt) {
		return false
	}
	return clock+clockResolution < l.clock+time.Duration(float64(sentAt.Sub(l.clockReadAt))*minClockRate)
}

// extend grants a lease of d from now and returns its end on the executor's clock, or
// zero if d isn't positive or the executor's clock isn't known.
func (l *lease) extend(now time.Time, d time.Duration) time.Duration {
	if !l.known() || d <= 0 {
		return 0
	}
	end := (l.clock + now.Sub(l.clockReadAt) + d).Truncate(time.Millisecond)
	l.latestEnd = max(l.latestEnd, end)
	return end
}

// maxExtension returns the longest duration for which a lease may be granted so that it has
// expired within the given time, even if the executor's clock is slow.
func (l *lease) maxExtension(now time.Time, within time.Duration) time.Duration {
	sinceRead := now.Sub(l.clockReadAt)
	return time.Duration(float64(within+sinceRead)*minClockRate) - sinceRead - expiryMargin
}

// remaining returns how long until every lease that was sent has expired, even if the
// executor's clock is slow.
func (l *lease) remaining(now time.Time) time.Duration {
	if !l.known() {
		return 0
	}
	end := l.clockReadAt.Add(time.Duration(float64(l.latestEnd+expiryMargin-l.clock) / minClockRate))
	return max(0, end.Sub(now))
}

// expired reports whether every lease that was sent has expired, even if the executor's
// clock is slow. It is false if the executor's clock isn't known.
func (l *lease) expired(now time.Time) bool {
	if !l.known() {
		return false
	}
	minClock := l.clock + time.Duration(float64(now.Sub(l.clockReadAt))*minClockRate)
	return minClock > l.latestEnd+expiryMargin
}
