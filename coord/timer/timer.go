package timer

import (
	"container/heap"
	"time"
)

// Timer is a callback scheduled with a Service. Stop may be called concurrently.
type Timer struct {
	service  *Service
	period   time.Duration // 0 for a single call
	interval time.Duration // coalescing interval, 0 for none
	call     func()

	// The service's lock guards the fields below.
	due   time.Time
	seq   uint64 // order of scheduling, for timers with equal due times
	index int    // in the heap; -1 if not scheduled
}

// Stop cancels the timer and reports whether it was still scheduled. It doesn't
// interrupt a callback that is running or wait for it.
func (t *Timer) Stop() bool {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&s.timers, t.index)
	return true
}
