package admit

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// minRefusals is how many refusals by the placers are required before requests
	// are refused early, so that a retry after a single refusal still reaches the
	// placers.
	minRefusals = 4
	// budgetDivisor determines how long a refusal is valid: the budget of the
	// refused request divided by this. A queue whose wait is as long as the budget
	// doesn't drain within that time.
	budgetDivisor = 20
	// maxRefusalTime is the longest time for which a refusal is valid.
	maxRefusalTime = 50 * time.Millisecond
)

// Class identifies requests that share a queue at the placers.
type Class struct {
	Team   string
	Queue  string
	Urgent bool
}

// Refusals caches refusals by the placers for a short time, so that an immediate
// retry of a refused request doesn't cost a call to each placer. Its methods may be
// called concurrently.
type Refusals struct {
	clock        *timer.Service
	refusedEarly metrics.Counter

	mu   sync.Mutex        // guards last
	last map[Class]refusal // bounded by the configured teams and queues
}

// refusal records that the placers would refuse a request of a class whose budget,
// the time left until its deadline, is at most budget.
type refusal struct {
	budget time.Duration // largest budget that was refused
	until  time.Time
	count  int // number of refusals
}

// NewRefusals returns an empty cache. Its metrics are registered in r.
func NewRefusals(clock *timer.Service, r metrics.Registry) *Refusals {
	return &Refusals{clock: clock, refusedEarly: metrics.GetOrRegisterCounter("entry.admit.early", r), last: make(map[Class]refusal)}
}

// Add records that the placers refused a request. budget is the time that was left
// until its deadline when it was offered.
func (s *Refusals) Add(c Class, budget time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	last := s.last[c]
	if !now.Before(last.until) {
		last = refusal{until: now.Add(min(budget/budgetDivisor, maxRefusalTime))}
	}
	last.budget = max(last.budget, budget)
	last.count++
	s.last[c] = last
}

// WouldRefuse reports whether the placers are expected to refuse a request with the given
// deadline, because they recently refused requests with as much time left.
func (s *Refusals) WouldRefuse(c Class, deadline time.Time) bool {
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
	if last.count < minRefusals || deadline.Sub(now) > last.budget {
		return false
	}
	s.refusedEarly.Inc(1)
	return true
}
