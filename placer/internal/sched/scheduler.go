package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/learn"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Scheduler decides for the endpoints of one placer. All methods may be
// called concurrently.
type Scheduler struct {
	timer     *timer.Service
	limit     Limit
	first     Policy
	view      *share.View
	learner   *learn.Learner
	executors *pool
	workers   *pool
}

// New returns a scheduler without endpoints. Without options it reads the
// machine's clock, has no limit and an equal share for each team.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{limit: unlimited{}}
	for _, opt := range opts {
		opt(s)
	}
	if s.timer == nil {
		s.timer = timer.New()
	}
	s.view, s.learner = share.New(s.timer), learn.New()
	s.executors = newPool(s.timer, s.limit, s.view, s.learner, s.first, lagging{quickTarget, quickShare})
	s.workers = newPool(s.timer, s.limit, s.view, s.learner, s.first, lagging{taskTarget, taskShare})
	return s
}

func (s *Scheduler) pool(k wire.Kind) *pool {
	if k == wire.Quick {
		return s.executors
	}
	return s.workers
}

// Configure puts a policy in force, for what already waits too. The caller
// must not change the policy's maps afterwards.
func (s *Scheduler) Configure(p Policy) {
	s.executors.configure(p)
	s.workers.configure(p)
}

// Join adds an endpoint or changes what is known of it.
func (s *Scheduler) Join(e Endpoint) {
	if e.Kind == point.Executor {
		s.executors.join(&e)
		return
	}
	s.workers.join(&e)
}

// Leave keeps new work from an endpoint. What runs there stays.
func (s *Scheduler) Leave(name string) {
	s.executors.leave(name)
	s.workers.leave(name)
}

// Drop forgets an endpoint that another placer owns now, and the tasks on it.
// Tasks that are known to have ended have to be told by Ended before.
func (s *Scheduler) Drop(name string) { s.DropTo(name, "") }

// DropTo does what Drop does, and names the new owner to the Limit.
func (s *Scheduler) DropTo(name, heir string) {
	s.executors.drop(name, heir)
	s.workers.drop(name, heir)
}

// Report notes what an endpoint measured as used.
func (s *Scheduler) Report(name string, used wire.Needs) {
	if !s.executors.report(name, used) {
		s.workers.report(name, used)
	}
}

// Used notes what a running task was measured to use.
func (s *Scheduler) Used(id string, task int, used wire.Needs) {
	if !s.executors.measured(id, task, used) {
		s.workers.measured(id, task, used)
	}
}

// Adopt counts a task that was found running on an endpoint that joined.
func (s *Scheduler) Adopt(endpoint string, t Task) {
	if !s.executors.adopt(endpoint, &t) {
		s.workers.adopt(endpoint, &t)
	}
}

// Submit queues a request, or more tasks of one that is known. It returns a
// *RefusedError if the request isn't queued and will not run.
func (s *Scheduler) Submit(item Item) error {
	return s.pool(item.Kind).submit(item)
}

// Cancel drops what waits of a request. It returns true if the request was
// still queued as a whole and will never start; tasks that were decided
// before are the caller's to stop.
func (s *Scheduler) Cancel(id string) bool {
	found, unstarted := s.executors.cancel(id)
	if !found {
		_, unstarted = s.workers.cancel(id)
	}
	return unstarted
}

// Decide returns the tasks that are to start now, with their room reserved,
// and those to checkpoint. It is to be called after anything has changed and
// at least every 100 ms, because limits change without notice.
func (s *Scheduler) Decide() []Decision {
	return s.workers.decide(s.executors.decide(nil))
}

// Started notes that a decided task runs.
func (s *Scheduler) Started(id string, task int) {
	if !s.executors.started(id, task) {
		s.workers.started(id, task)
	}
}

// Unsent notes that the start of a decided task surely didn't happen. Its
// room is free and it is queued again, unless the request was cancelled. If
// the task is a member of a gang, the gang waits until each other member has
// been told by Unsent or Ended, and is then queued again as a whole; the
// caller stops those that started. A gang of which a member was dropped or
// adopted isn't known as a whole, so its caller submits it again.
func (s *Scheduler) Unsent(id string, task int) {
	if !s.executors.unsent(id, task) {
		s.workers.unsent(id, task)
	}
}

// Ended notes that a task no longer runs, and whether it did what it was to
// do. A task that was checkpointed is submitted again by the caller.
func (s *Scheduler) Ended(id string, task int, ok bool) {
	if !s.executors.ended(id, task, ok) {
		s.workers.ended(id, task, ok)
	}
}

// Expire drops requests whose deadline passed in the queue and returns what
// of them never started, with its task numbers.
func (s *Scheduler) Expire() []Item {
	return s.workers.expire(s.executors.expire(nil))
}

// Waiting returns how many requests wait.
func (s *Scheduler) Waiting() int { return s.executors.waiting() + s.workers.waiting() }

// Backlog returns how many requests wait for workers.
func (s *Scheduler) Backlog() int { return s.workers.waiting() }

// Free returns the room of open endpoints by kind of request.
func (s *Scheduler) Free() map[wire.Kind]wire.Needs {
	room := s.workers.free()
	return map[wire.Kind]wire.Needs{
		wire.Quick: s.executors.free(), wire.Batch: room, wire.Gang: room, wire.Service: room,
	}
}

// Queued returns how many requests wait in each queue.
func (s *Scheduler) Queued() map[string]int {
	m := make(map[string]int)
	s.executors.countQueued(m)
	s.workers.countQueued(m)
	return m
}

// Waits returns how long the oldest request of each queue has waited.
func (s *Scheduler) Waits() map[string]time.Duration {
	m := make(map[string]time.Duration)
	s.executors.countWaits(m)
	s.workers.countWaits(m)
	return m
}
