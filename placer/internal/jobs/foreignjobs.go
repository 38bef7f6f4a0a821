package jobs

import (
	"context"
	"errors"
	"sync"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// foreignJobs holds the batch tasks that other drivers have offloaded to this
// placer's queue, and the capacity held for them. All methods may be called
// concurrently.
type foreignJobs struct {
	timer *timer.Service
	queue Queue

	mu      sync.Mutex // guards the fields below; held while the queue is called
	byID    map[string]*foreignJob
	changed chan struct{} // closed at the next decision
}

func newForeignJobs(t *timer.Service, q Queue) *foreignJobs {
	return &foreignJobs{timer: t, queue: q, byID: make(map[string]*foreignJob), changed: make(chan struct{})}
}

// run removes what drivers no longer renew, until ctx ends.
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

// dequeueLocked removes the job's waiting tasks from the queue. The driver's next
// request queues them again.
func (s *foreignJobs) dequeueLocked(f *foreignJob) {
	s.queue.Cancel(f.request.ID)
	f.waiting = make(map[int]bool)
}

// releaseLocked releases the capacity of one order. The scheduler queues the task
// again if the job is still in its queue, but with another attempt than the
// driver expects, so all tasks of the job leave the queue first.
func (s *foreignJobs) releaseLocked(o queue.Order) {
	if f := s.byID[o.ID]; f != nil {
		s.dequeueLocked(f)
	} else {
		s.queue.Cancel(o.ID)
	}
	s.queue.Unsent(o)
}

// release releases the capacity of a task that didn't start and never will.
func (s *foreignJobs) release(o queue.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked(o)
}

// enqueue queues the tasks of a request, or removes them if the request releases
// them, and returns the capacity held for them. Duplicate and delayed requests
// and those of an earlier driver are harmless.
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

// submitLocked queues tasks and reports false if no endpoint here can run them.
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
		return refused.Reason == wire.ReasonDuplicate // a decision is under way; handleDecision undoes it
	}
	for _, n := range numbers {
		f.waiting[n] = true
	}
	return true
}

// releaseJob removes what an earlier driver of the job has queued here and
// releases its capacity.
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

// handleDecision reports whether another driver has tasks of the job here, and
// holds the capacity that the scheduler gave them. Decisions for tasks that no
// longer wait, or for another attempt, are undone.
func (s *foreignJobs) handleDecision(id string, orders []queue.Order) bool {
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

// watch returns a channel that is closed at the next decision.
func (s *foreignJobs) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// take removes the capacity held for tasks that are to be started and returns
// their orders. Tasks whose capacity has expired are left out.
func (s *foreignJobs) take(in *launchRequest) []queue.Order {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.byID[in.ID]
	if f == nil || f.request.Epoch != in.Epoch || f.request.Attempt != in.Attempt {
		return nil
	}
	var out []queue.Order
	for _, n := range in.Numbers {
		if h, ok := f.held[n]; ok && now < h.expires {
			delete(f.held, n)
			out = append(out, h.order)
		}
	}
	return out
}
