package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

const (
	// bookTime is how long room is kept for a driver that is silent. It is
	// longer than a driver takes to write the attempts of a gang.
	reservationTTL = 6 * time.Second
	// bookPeriod is the time between looks for drivers that are silent.
	expireInterval = 500 * time.Millisecond
)

// books has the room at this placer's endpoints that is kept for parts of
// gangs. All methods may be called concurrently.
type reservations struct {
	timer *timer.Service
	queue Queue

	mu   sync.Mutex // guards byID; held while the queue is called
	byID map[string]*reservation
}

func newReservations(t *timer.Service, q Queue) *reservations {
	return &reservations{timer: t, queue: q, byID: make(map[string]*reservation)}
}

// run gives up what drivers don't ask for any more, until ctx ends.
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

// book keeps room or goes on waiting for it. Words that come twice, late or
// from a driver that was replaced change nothing.
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
		s.releaseLocked(r) // its endpoints have gone
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

// forget gives back what an earlier driver of a job has here.
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

// decided takes a decision for a booking and reports whether it concerns one.
// A decision for an earlier booking of the gang is undone.
func (s *reservations) handleDecision(id string, orders []desk.Order) bool {
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

// take ends a booking whose tasks are to start, and returns their orders.
func (s *reservations) take(in *launchRequest) ([]desk.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[in.ID]
	if r == nil || r.request.Epoch != in.Epoch || r.request.Attempt != in.Attempt || r.orders == nil || s.timer.Boot() >= r.expires {
		return nil, false
	}
	delete(s.byID, in.ID)
	s.queue.Cancel(in.ID) // what surely didn't start isn't decided again here
	return r.orders, true
}
