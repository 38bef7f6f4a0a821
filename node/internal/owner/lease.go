package owner

import "time"

const (
	// leaseTime is how long executors go on without the owner: long enough for
	// another host to take over, short so that work on a lost executor starts
	// elsewhere soon.
	leaseTime = 5 * time.Second
	// unconfirmedTime is how long leases are extended while the store doesn't
	// confirm ownership, beyond the longest lease, as long as a majority of the executors
	// follows the owner. A successor without one waits as long for executors that it
	// can't reach.
	unconfirmedTime = 4 * time.Second
	// settleMargin covers the clocks' difference in rate over the longest wait.
	settleMargin = 500 * time.Millisecond
	// lapseMargin is for the resolution of executors' clocks.
	lapseMargin = 50 * time.Millisecond
	// slowestClock is the least rate of an executor's clock.
	slowestClock = 0.98
)

// lease follows an executor's clock and the lease that it may have.
type lease struct {
	clock time.Duration // of the executor when it was last heard
	at    time.Time     // when that was
	until time.Duration // latest end that any owner may have sent, on the executor's clock
}

// inherit notes the executor's clock as of its first answer to this owner. Earlier
// owners can extend no lease any more; those that they gave last at most longest.
func (l *lease) inherit(clock, longest time.Duration) {
	if l.at.IsZero() {
		l.until = clock + longest
	}
}

// heard notes the executor's clock from an answer.
func (l *lease) heard(clock time.Duration, at time.Time) {
	if clock > 0 {
		l.clock, l.at = clock, at
	}
}

// extend returns the end of a lease of d from now, on the executor's clock, or
// zero if its clock isn't known.
func (l *lease) extend(now time.Time, d time.Duration) time.Duration {
	if l.at.IsZero() || d <= 0 {
		return 0
	}
	end := (l.clock + now.Sub(l.at) + d).Truncate(time.Millisecond)
	l.until = max(l.until, end)
	return end
}

// left returns how long until no lease that was sent can still hold.
func (l *lease) left(now time.Time) time.Duration {
	if l.at.IsZero() {
		return 0
	}
	end := l.at.Add(time.Duration(float64(l.until+lapseMargin-l.clock) / slowestClock))
	return max(0, end.Sub(now))
}

// lapsed reports whether no lease that was sent can still hold.
func (l *lease) lapsed(now time.Time) bool {
	if l.at.IsZero() {
		return false
	}
	least := l.clock + time.Duration(float64(now.Sub(l.at))*slowestClock)
	return least > l.until+lapseMargin
}
