package lease

import "time"

const (
	// rateParts bounds how much faster one clock may run than another: one
	// part in rateParts.
	rateParts = 200
	// marginFloor covers the time between a check and the effect of what it
	// allowed.
	marginFloor = 100 * time.Millisecond
)

// Margin returns by how much a span of length d, counted on one host's clock,
// may be exceeded by the same span on another's.
func Margin(d time.Duration) time.Duration { return d/rateParts + marginFloor }
