package pace

import "time"

// result is the result of one request.
type result struct {
	sent    time.Time
	elapsed time.Duration
	done    bool
	reason  string

	refusals []time.Duration // duration of each refused try
}
