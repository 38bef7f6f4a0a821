package admit

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// fewest is how many refusals it takes in the time for which they stand, so
	// that a caller who asks again after a single one is heard by the placers.
	fewest = 4
	// holdParts is what part of its budget a refusal stands for: in one part of
	// so many a queue that is as deep as the budget doesn't run empty.
	holdParts = 20
	// maxHold bounds how long it stands.
	maxHold = 50 * time.Millisecond
)

// Class is what shares a queue at the placers.
type Class struct {
	Team   string
	Queue  string
	Urgent bool
}

// Refusals remembers for a moment that the placers' queues are too long, so
// that callers who send again at once don't cost a question to each placer.
// Its methods may be called concurrently.
type Refusals struct {
	clock *timer.Service
	early metrics.Counter

	mu   sync.Mutex        // guards last
	last map[Class]refusal // of teams and queues that are configured, which bounds it
}

// refusal says that no request with at most this budget would start in time.
type refusal struct {
	budget time.Duration // the largest one refused
	until  time.Time
	count  int // how many were refused
}

// NewRefusals returns Refusals that count in r.
func NewRefusals(clock *timer.Service, r metrics.Registry) *Refusals {
	return &Refusals{clock: clock, early: metrics.GetOrRegisterCounter("entry.admit.early", r), last: make(map[Class]refusal)}
}

// Note notes that the placers refused a request that had so much time left
// when it was offered.
func (s *Refusals) Note(c Class, budget time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	last := s.last[c]
	if !now.Before(last.until) {
		last = refusal{until: now.Add(min(budget/holdParts, maxHold))}
	}
	last.budget = max(last.budget, budget)
	last.count++
	s.last[c] = last
}

// Late reports whether a request with that deadline would be refused by the
// placers, as one that had as much time was a moment ago.
func (s *Refusals) Late(c Class, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	last, ok := s.last[c]
	if !ok {
		return false
	}
	if !now.Before(last.until) {
		delete(s.last, c)
		return false
	}
	if last.count < fewest || deadline.Sub(now) > last.budget {
		return false
	}
	s.early.Inc(1)
	return true
}
