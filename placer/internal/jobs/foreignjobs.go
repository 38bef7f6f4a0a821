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
type foreignJobs struct {
	timer *timer.Service
	queue Queue

	mu      sync.Mutex // guards the fields below; held while the queue is called
	byID    map[string]*foreignJob
	changed chan struct{} // closed when there is room for more
}

func newForeignJobs(t *timer.Service, q Queue) *foreignJobs {
	return &foreignJobs{timer: t, queue: q, byID: make(map[string]*foreignJob), changed: make(chan struct{})}
}

// run gives up what drivers don't ask for any more, until ctx ends.
func (s *foreignJobs) run(ctx context.Context) {
	for s.timer.Sleep(ctx, expireInterval) == nil {
		s.expire()
	}
}

func (s *foreignJobs) expire() {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, f := range s.byID {
		for n, h := range f.held {
			if now >= h.expires {
				delete(f.held, n)
				s.releaseLocked(h.order)
			}
		}
		if now >= f.expires {
			s.dequeueLocked(f)
			if len(f.held) == 0 {
				delete(s.byID, id)
			}
		}
	}
}

// restLocked takes what waits out of the queue. It is queued again when it is
// asked for.
func (s *foreignJobs) dequeueLocked(f *foreignJob) {
	s.queue.Cancel(f.request.ID)
	f.waiting = make(map[int]bool)
}

// undoLocked gives room back. What the scheduler would queue again in its place
// has another attempt, so all that waits of the job leaves the queue first.
func (s *foreignJobs) releaseLocked(o desk.Order) {
	if f := s.byID[o.ID]; f != nil {
		s.dequeueLocked(f)
	} else {
		s.queue.Cancel(o.ID)
	}
	s.queue.Unsent(o)
}

// undo gives the room of a start back that surely didn't and won't happen.
func (s *foreignJobs) release(o desk.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(o)
}

// book lets tasks wait here and says which of them have room. Words that come
// twice, late or from a driver that was replaced do no harm.
func (s *foreignJobs) enqueue(in *reserveRequest) peerReply {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.byID[in.ID]
	if f != nil && in.Epoch < f.request.Epoch {
		return peerReply{Rejected: true}
	}
	if f != nil && (in.Release || in.Epoch != f.request.Epoch || in.Attempt != f.request.Attempt) {
		s.removeLocked(f)
		f = nil
	}
	if in.Release {
		return peerReply{}
	}
	if f == nil {
		f = &foreignJob{waiting: make(map[int]bool), held: make(map[int]heldOrder)}
		s.byID[in.ID] = f
	}
	f.request, f.expires = *in, now+reservationTTL
	if f.renew(in.Numbers, now) {
		s.dequeueLocked(f)
	}
	if !s.submitLocked(f, f.unqueued(in.Numbers)) {
		s.removeLocked(f)
		return peerReply{Rejected: true}
	}
	return peerReply{Grants: f.grants(in.Numbers)}
}

// queueLocked queues tasks and reports false if they can't run here.
func (s *foreignJobs) submitLocked(f *foreignJob, numbers []int) bool {
	if !s.queue.Fits(f.request.Needs, 1) {
		return false
	}
	if len(numbers) == 0 {
		return true
	}
	item := f.request.item()
	item.Kind, item.Tasks, item.Numbers = wire.Batch, len(numbers), numbers
	err := s.queue.Submit(item)
	var refused *sched.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == wire.ReasonDuplicate // a decision is on its way, to be undone
	}
	for _, n := range numbers {
		f.waiting[n] = true
	}
	return true
}

// forget gives back what an earlier driver of a job has here.
func (s *foreignJobs) releaseJob(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.byID[id]; f != nil {
		s.removeLocked(f)
	}
}

func (s *foreignJobs) removeLocked(f *foreignJob) {
	delete(s.byID, f.request.ID)
	s.queue.Cancel(f.request.ID)
	for _, h := range f.held {
		s.queue.Unsent(h.order)
	}
}

// decided takes decisions for tasks that wait here for another driver, and
// reports whether there are any such tasks. Others are undone.
func (s *foreignJobs) handleDecision(id string, orders []desk.Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.byID[id]
	if f == nil {
		return false
	}
	for _, o := range orders {
		if !f.waiting[o.Task] || o.Attempt != f.request.Attempt {
			s.releaseLocked(o)
			continue
		}
		delete(f.waiting, o.Task)
		f.held[o.Task] = heldOrder{order: o, expires: f.expires}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// watch returns a channel that is closed when there is room for more.
func (s *foreignJobs) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// take ends the keeping of room for tasks that are to start, and returns
// their orders.
func (s *foreignJobs) take(in *launchRequest) []desk.Order {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.byID[in.ID]
	if f == nil || f.request.Epoch != in.Epoch || f.request.Attempt != in.Attempt {
		return nil
	}
	var out []desk.Order
	for _, n := range in.Numbers {
		if h, ok := f.held[n]; ok && now < h.expires {
			delete(f.held, n)
			out = append(out, h.order)
		}
	}
	return out
}
