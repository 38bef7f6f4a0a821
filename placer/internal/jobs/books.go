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
	bookTime = 6 * time.Second
	// bookPeriod is the time between looks for drivers that are silent.
	bookPeriod = 500 * time.Millisecond
)

// books has the room at this placer's endpoints that is kept for parts of
// gangs. All methods may be called concurrently.
type books struct {
	timer *timer.Service
	queue Queue

	mu   sync.Mutex // guards byID; held while the queue is called
	byID map[string]*booking
}

func newBooks(t *timer.Service, q Queue) *books {
	return &books{timer: t, queue: q, byID: make(map[string]*booking)}
}

// run gives up what drivers don't ask for any more, until ctx ends.
func (s *books) run(ctx context.Context) {
	for s.timer.Sleep(ctx, bookPeriod) == nil {
		s.expire()
	}
}

func (s *books) expire() {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.byID {
		if now >= b.until {
			s.dropLocked(b)
		}
	}
}

// book keeps room or goes on waiting for it. Words that come twice, late or
// from a driver that was replaced change nothing.
func (s *books) book(in *book) noted {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[in.ID]
	if b != nil && (in.Epoch < b.ask.Epoch || in.Epoch == b.ask.Epoch && in.Attempt < b.ask.Attempt) {
		return noted{Void: true}
	}
	if b != nil && (in.Drop || !b.same(in)) {
		s.dropLocked(b)
		b = nil
	}
	if in.Drop {
		return noted{}
	}
	if b != nil && b.orders == nil && !s.queue.Fits(in.Needs, len(in.Numbers)) {
		s.dropLocked(b) // its endpoints have gone
		return noted{Void: true}
	}
	if b == nil {
		if s.queue.Submit(in.item()) != nil {
			return noted{Void: true}
		}
		b = &booking{ask: *in}
		s.byID[in.ID] = b
	}
	b.until = s.timer.Boot() + bookTime
	return noted{Kept: b.kept()}
}

// forget gives back what an earlier driver of a job has here.
func (s *books) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.byID[id]; b != nil {
		s.dropLocked(b)
	}
}

func (s *books) dropLocked(b *booking) {
	delete(s.byID, b.ask.ID)
	s.queue.Cancel(b.ask.ID)
	for _, o := range b.orders {
		s.queue.Unsent(o)
	}
}

// decided takes a decision for a booking and reports whether it concerns one.
// A decision for an earlier booking of the gang is undone.
func (s *books) decided(id string, orders []desk.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[id]
	if b == nil {
		return false
	}
	if b.meant(orders) {
		b.orders = orders
		return true
	}
	for _, o := range orders {
		s.queue.Unsent(o)
	}
	return true
}

// take ends a booking whose tasks are to start, and returns their orders.
func (s *books) take(in *launch) ([]desk.Order, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[in.ID]
	if b == nil || b.ask.Epoch != in.Epoch || b.ask.Attempt != in.Attempt || b.orders == nil || s.timer.Boot() >= b.until {
		return nil, false
	}
	delete(s.byID, in.ID)
	s.queue.Cancel(in.ID) // what surely didn't start isn't decided again here
	return b.orders, true
}
