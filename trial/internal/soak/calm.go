package soak

import (
	"sync"
	"time"
)

// calm tracks the faults of one component. It may be used concurrently.
type calm struct {
	mu     sync.Mutex // guards the fields below
	active int        // faults in progress
	since  time.Time  // end of the last fault
}

// disturb runs f, which injects a fault and ends it.
func (c *calm) disturb(f func()) {
	c.mu.Lock()
	c.active++
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active--
		c.since = time.Now()
	}()
	f()
}

// atLeast reports whether there has been no fault for d before the time t, nor since.
func (c *calm) atLeast(d time.Duration, t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == 0 && t.Sub(c.since) >= d
}
