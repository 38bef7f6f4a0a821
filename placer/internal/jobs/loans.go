package jobs

import (
	"context"
	"errors"
	"sync"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// loans has the tasks of batch jobs that wait here for their drivers at other
// placers, and the room that is kept for them. All methods may be called
// concurrently.
type loans struct {
	timer *timer.Service
	queue Queue

	mu      sync.Mutex // guards the fields below; held while the queue is called
	byID    map[string]*loan
	changed chan struct{} // closed when there is room for more
}

func newLoans(t *timer.Service, q Queue) *loans {
	return &loans{timer: t, queue: q, byID: make(map[string]*loan), changed: make(chan struct{})}
}

// run gives up what drivers don't ask for any more, until ctx ends.
func (s *loans) run(ctx context.Context) {
	for s.timer.Sleep(ctx, bookPeriod) == nil {
		s.expire()
	}
}

func (s *loans) expire() {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.byID {
		for n, k := range b.kept {
			if now >= k.until {
				delete(b.kept, n)
				s.undoLocked(k.order)
			}
		}
		if now >= b.until {
			s.restLocked(b)
			if len(b.kept) == 0 {
				delete(s.byID, id)
			}
		}
	}
}

// restLocked takes what waits out of the queue. It is queued again when it is
// asked for.
func (s *loans) restLocked(b *loan) {
	s.queue.Cancel(b.ask.ID)
	b.waiting = make(map[int]bool)
}

// undoLocked gives room back. What the scheduler would queue again in its place
// has another attempt, so all that waits of the job leaves the queue first.
func (s *loans) undoLocked(o desk.Order) {
	if b := s.byID[o.ID]; b != nil {
		s.restLocked(b)
	} else {
		s.queue.Cancel(o.ID)
	}
	s.queue.Unsent(o)
}

// undo gives the room of a start back that surely didn't and won't happen.
func (s *loans) undo(o desk.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undoLocked(o)
}

// book lets tasks wait here and says which of them have room. Words that come
// twice, late or from a driver that was replaced do no harm.
func (s *loans) book(in *book) noted {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[in.ID]
	if b != nil && in.Epoch < b.ask.Epoch {
		return noted{Void: true}
	}
	if b != nil && (in.Drop || in.Epoch != b.ask.Epoch || in.Attempt != b.ask.Attempt) {
		s.dropLocked(b)
		b = nil
	}
	if in.Drop {
		return noted{}
	}
	if b == nil {
		b = &loan{waiting: make(map[int]bool), kept: make(map[int]keptOrder)}
		s.byID[in.ID] = b
	}
	b.ask, b.until = *in, now+bookTime
	if b.renew(in.Numbers, now) {
		s.restLocked(b)
	}
	if !s.queueLocked(b, b.left(in.Numbers)) {
		s.dropLocked(b)
		return noted{Void: true}
	}
	return noted{Kept: b.answer(in.Numbers)}
}

// queueLocked queues tasks and reports false if they can't run here.
func (s *loans) queueLocked(b *loan, numbers []int) bool {
	if !s.queue.Fits(b.ask.Needs, 1) {
		return false
	}
	if len(numbers) == 0 {
		return true
	}
	item := b.ask.item()
	item.Kind, item.Tasks, item.Numbers = wire.Batch, len(numbers), numbers
	err := s.queue.Submit(item)
	var refused *sched.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == wire.ReasonDuplicate // a decision is on its way, to be undone
	}
	for _, n := range numbers {
		b.waiting[n] = true
	}
	return true
}

// forget gives back what an earlier driver of a job has here.
func (s *loans) forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b := s.byID[id]; b != nil {
		s.dropLocked(b)
	}
}

func (s *loans) dropLocked(b *loan) {
	delete(s.byID, b.ask.ID)
	s.queue.Cancel(b.ask.ID)
	for _, k := range b.kept {
		s.queue.Unsent(k.order)
	}
}

// decided takes decisions for tasks that wait here for another driver, and
// reports whether there are any such tasks. Others are undone.
func (s *loans) decided(id string, orders []desk.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[id]
	if b == nil {
		return false
	}
	for _, o := range orders {
		if !b.waiting[o.Task] || o.Attempt != b.ask.Attempt {
			s.undoLocked(o)
			continue
		}
		delete(b.waiting, o.Task)
		b.kept[o.Task] = keptOrder{order: o, until: b.until}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// watch returns a channel that is closed when there is room for more.
func (s *loans) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// take ends the keeping of room for tasks that are to start, and returns
// their orders.
func (s *loans) take(in *launch) []desk.Order {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.byID[in.ID]
	if b == nil || b.ask.Epoch != in.Epoch || b.ask.Attempt != in.Attempt {
		return nil
	}
	var out []desk.Order
	for _, n := range in.Numbers {
		if k, ok := b.kept[n]; ok && now < k.until {
			delete(b.kept, n)
			out = append(out, k.order)
		}
	}
	return out
}
