package lease

import "time"

const (
	// driftDivisor bounds the drift between two clocks: one may run faster than
	// the other by at most 1/driftDivisor.
	driftDivisor = 200
	// marginFloor covers the time between checking a term and the effect of
	// the action that the check allowed.
	marginFloor = 100 * time.Millisecond
)

// Margin returns the safety margin for a span of length d that is measured on
// two hosts: it covers the clocks' drift over d and the delay after a check.
func Margin(d time.Duration) time.Duration { return d/driftDivisor + marginFloor }
