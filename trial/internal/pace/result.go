package pace

import "time"

// served is what became of one request.
type served struct {
	sent   time.Time
	took   time.Duration
	done   bool
	reason string

	refusals []time.Duration // how long each refused try took
}
