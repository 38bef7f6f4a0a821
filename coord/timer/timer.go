package timer

import (
	"container/heap"
	"time"
)

// Timer is one subscription to a Service.
type Timer struct {
	service *Service
	period  time.Duration
	grain   time.Duration
	call    func()

	// The service's lock guards the fields below.
	due   time.Time
	seq   uint64
	index int
}

// Stop ends the subscription and reports whether it was still waiting. A
// callback that has already begun is not interrupted.
func (t *Timer) Stop() bool {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index < 0 {
		return false
	}
	heap.Remove(&s.queue, t.index)
	return true
}
