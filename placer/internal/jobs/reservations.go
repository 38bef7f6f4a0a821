package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

const (
	// reservationTTL is how long a reservation lasts after its last renewal.
	// It is longer than a driver takes to write the attempts of a gang.
	reservationTTL = 6 * time.Second
	// expireInterval is the time between checks for expired reservations.
	expireInterval = 500 * time.Millisecond
)

// reservations holds the capacity at this placer's endpoints that is reserved
// for parts of gangs. All methods may be called concurrently.
type reservations struct {
	timer *timer.Service
	queue Queue

	mu   sync.Mutex              // guards byID; held while the queue is called
	byID map[string]*reservation // by job id
}

func newReservations(t *timer.Service, q Queue) *reservations {
	return &reservations{timer: t, queue: q, byID: make(map[string]*reservation)}
}

// run releases expired reservations until ctx ends.
func (s *reservations) run(ctx context.Context) {
	for s.timer.Sleep(ctx, expireInterval) == nil {
		s.expire()
	}
}

func (s *reservations) expire() {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byID {
		if now >= r.expires {
			s.releaseLocked(r)
		}
	}
}

// reserve creates, renews or releases a reservation and returns the capacity
// held for it. Duplicate and delayed requests and those of an earlier driver are
// harmless: the worst that they do is to reserve capacity until it expires, or to
// release a reservation that its driver then makes again.
func (s *reservations) reserve(in *reserveRequest) peerReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[in.ID]
	if r != nil && (in.Epoch < r.request.Epoch || in.Epoch == r.request.Epoch && in.Attempt < r.request.Attempt) {
		return peerReply{Rejected: true}
	}
	if r != nil && (in.Release || !r.matches(in)) {
		s.releaseLocked(r)
		r = nil
	}
	if in.Release {
		return peerReply{}
	}
	if r != nil && r.orders == nil && !s.queue.Fits(in.Needs, len(in.Numbers)) {
		s.releaseLocked(r) // this placer no longer owns enough endpoints
		return peerReply{Rejected: true}
	}
	if r == nil {
		if s.queue.Submit(in.item()) != nil {
			return peerReply{Rejected: true}
		}
		r = &reservation{request: *in}
		s.byID[in.ID] = r
	}
	r.expires = s.timer.Boot() + reservationTTL
	return peerReply{Grants: r.grants()}
}

// releaseJob releases the reservation that an earlier driver of the job made.
func (s *reservations) releaseJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.byID[id]; r != nil {
		s.releaseLocked(r)
	}
}

func (s *reservations) releaseLocked(r *reservation) {
	delete(s.byID, r.request.ID)
	s.queue.Cancel(r.request.ID)
	for _, o := range r.orders {
		s.queue.Unsent(o)
	}
}

// handleDecision reports whether the job has a reservation here, and stores the
// scheduler's decision in it. A decision for an earlier reservation of the gang
// is undone.
func (s *reservations) handleDecision(id string, orders []queue.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil {
		return false
	}
	if r.accepts(orders) {
		r.orders = orders
		return true
	}
	for _, o := range orders {
		s.queue.Unsent(o)
	}
	return true
}

// take removes a reservation whose tasks are to be started and returns their
// orders. It reports false if there is no such reservation, or it waits for
// capacity or has expired.
func (s *reservations) take(in *launchRequest) ([]queue.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[in.ID]
	if r == nil || r.request.Epoch != in.Epoch || r.request.Attempt != in.Attempt || r.orders == nil || s.timer.Boot() >= r.expires {
		return nil, false
	}
	delete(s.byID, in.ID)
	s.queue.Cancel(in.ID) // tasks that fail to start are queued again by their driver, not here
	return r.orders, true
}
