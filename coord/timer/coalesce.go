package timer

import "time"

const (
	// maxGrain is the time between two moments that timers share. Shorter grains
	// are halves of it, so that their moments include those of the longer ones.
	maxGrain = 50 * time.Millisecond
	// minGrain is the shortest grain; what can't wait for it shares nothing.
	minGrain = maxGrain / 16
	// sleepParts is which part of a sleep it may take longer.
	sleepParts = 16
)

// grain returns the longest grain within d, or zero if there is none.
func grain(d time.Duration) time.Duration {
	for g := maxGrain; g >= minGrain; g /= 2 {
		if g <= d {
			return g
		}
	}
	return 0
}

// late returns how long after due the next shared moment is.
func late(due, grain time.Duration) time.Duration { return (grain - due%grain) % grain }
