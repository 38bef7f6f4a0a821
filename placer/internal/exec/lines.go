package exec

import (
	"sync"
	"time"
)

// lines has the lines in which requests wait. All methods may be called
// concurrently.
type lines struct {
	mu      sync.Mutex // guards byClass
	byClass map[class]*line
}

func newLines() *lines { return &lines{byClass: make(map[class]*line)} }

// enter counts a request that is to wait, or reports false if it is not
// expected to start before its deadline. A zero deadline is none.
func (s *lines) enter(c class, now, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byClass[c]
	if l == nil {
		l = &line{}
		s.byClass[c] = l
	}
	if l.late(now, deadline) {
		return false
	}
	l.enter(now)
	return true
}

// leave counts a request that no longer waits.
func (s *lines) leave(c class, now time.Time, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byClass[c]
	if l.leave(now, started); l.waiting == 0 && l.starts > 0 {
		delete(s.byClass, c) // One that stalls is kept, so that it isn't learned anew.
	}
}
