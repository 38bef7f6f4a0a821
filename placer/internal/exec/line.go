package exec

import (
	"math"
	"time"
)

const (
	// drainTime is over what time of waiting the pace of a line is taken.
	drainTime = 2 * time.Second
	// learnTime is how long a line has to have been busy until its pace counts.
	learnTime = 500 * time.Millisecond
	// certain is the part of the time to a deadline that the expected wait may
	// take; the rest is for an uneven pace.
	certain = 0.85
)

// line is one class's requests that wait, and how fast it has drained since
// it was last empty. Shares, upper limits and room all show in that.
type line struct {
	waiting int
	starts  float64   // within the busy time, both decayed
	busy    float64   // seconds
	last    time.Time // up to when starts and busy count
}

// late reports whether one more request is not expected to start before the
// deadline. The first of a line is never late, so that the pace is seen.
func (l *line) late(now, deadline time.Time) bool {
	if deadline.IsZero() || l.waiting == 0 {
		return false
	}
	busy, left := l.busy+now.Sub(l.last).Seconds(), deadline.Sub(now).Seconds()
	if busy < learnTime.Seconds() || l.starts == 0 && busy < left {
		return false // Endpoints may be on their way to this placer.
	}
	wait := busy / (l.starts + 1) * float64(l.waiting+1)
	return wait > certain*left
}

func (l *line) enter(now time.Time) {
	if l.waiting == 0 {
		// What waited in vain until just now tells of the same stall.
		if l.starts > 0 || now.Sub(l.last) >= learnTime {
			l.starts, l.busy = 0, 0
		}
		l.last = now
	}
	l.waiting++
}

// leave counts one request less; started tells whether it was given room.
func (l *line) leave(now time.Time, started bool) {
	dt := now.Sub(l.last).Seconds()
	decay := math.Exp(-dt / drainTime.Seconds())
	l.starts, l.busy, l.last = l.starts*decay, l.busy*decay+dt, now
	if started {
		l.starts++
	}
	l.waiting--
}
