package timer

import "time"

const (
	// maxInterval is the longest coalescing interval. The due time of a
	// coalesced timer is rounded up to a multiple of its interval. The shorter
	// intervals halve maxInterval repeatedly, so that multiples of a longer one
	// are multiples of the shorter ones too.
	maxInterval = 50 * time.Millisecond
	// minInterval is the shortest coalescing interval. Timers that can't be
	// delayed by that much aren't coalesced.
	minInterval = maxInterval / 16
	// sleepSlackDivisor is the fraction of a Sleep by which it may last longer:
	// 1/16.
	sleepSlackDivisor = 16
)

// coalescingInterval returns the longest interval that doesn't exceed d, or 0 if
// there is none.
func coalescingInterval(d time.Duration) time.Duration {
	for interval := maxInterval; interval >= minInterval; interval /= 2 {
		if interval <= d {
			return interval
		}
	}
	return 0
}

// untilTick returns the time from due to the next multiple of interval.
func untilTick(due, interval time.Duration) time.Duration {
	return (interval - due%interval) % interval
}
