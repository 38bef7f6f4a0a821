package exec

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant of the decaying averages of a backlog.
	decayTime = 2 * time.Second
	// minBusyTime is how long a backlog must have been non-empty before its
	// start rate is used.
	minBusyTime = 500 * time.Millisecond
	// maxWaitFraction is the fraction of the time to the deadline that the
	// expected wait may take; the rest allows for an uneven start rate.
	maxWaitFraction = 0.85
)

// backlog counts the waiting requests of one class and measures the rate of
// their starts since it was last empty. The rate reflects the class's share,
// its limits and the free capacity.
type backlog struct {
	waiting int
	starts  float64   // starts during the busy time; both decay
	busy    float64   // seconds
	updated time.Time // when starts and busy were last updated
}

// wouldMiss reports whether one more request is expected to start after its
// deadline. The first request of a backlog is always accepted, so that the rate
// can be measured.
func (b *backlog) wouldMiss(now, deadline time.Time) bool {
	if deadline.IsZero() || b.waiting == 0 {
		return false
	}
	busy, left := b.busy+now.Sub(b.updated).Seconds(), deadline.Sub(now).Seconds()
	if busy < minBusyTime.Seconds() || b.starts == 0 && busy < left {
		return false // This placer may be about to take endpoints over.
	}
	wait := busy / (b.starts + 1) * float64(b.waiting+1)
	return wait > maxWaitFraction*left
}

func (b *backlog) enter(now time.Time) {
	if b.waiting == 0 {
		// A backlog whose requests expired only just now belongs to the same
		// stall, so its measurement continues.
		if b.starts > 0 || now.Sub(b.updated) >= minBusyTime {
			b.starts, b.busy = 0, 0
		}
		b.updated = now
	}
	b.waiting++
}

// leave removes one request; started is whether it left to be started.
func (b *backlog) leave(now time.Time, started bool) {
	dt := now.Sub(b.updated).Seconds()
	decay := math.Exp(-dt / decayTime.Seconds())
	b.starts, b.busy, b.updated = b.starts*decay, b.busy*decay+dt, now
	if started {
		b.starts++
	}
	b.waiting--
}
