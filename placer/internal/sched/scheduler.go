package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/learn"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Scheduler schedules tasks on the endpoints of one placer. All methods may be
// called concurrently.
type Scheduler struct {
	timer         *timer.Service
	limit         Limit
	initialPolicy Policy
	view          *share.View
	learner       *learn.Learner
	executors     *pool
	workers       *pool
}

// New returns a scheduler without endpoints. By default it uses the system
// clock, enforces no limits and gives each team an equal share.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{limit: unlimited{}}
	for _, opt := range opts {
		opt(s)
	}
	if s.timer == nil {
		s.timer = timer.New()
	}
	s.view, s.learner = share.New(s.timer), learn.New()
	s.executors = newPool(s.timer, s.limit, s.view, s.learner, s.initialPolicy, waitBonusRule{quickWaitTarget, maxQuickBonus})
	s.workers = newPool(s.timer, s.limit, s.view, s.learner, s.initialPolicy, waitBonusRule{taskWaitTarget, maxTaskBonus})
	return s
}

func (s *Scheduler) pool(k wire.Kind) *pool {
	if k == wire.Quick {
		return s.executors
	}
	return s.workers
}

// Configure replaces the policy, which also applies to requests that already
// wait. The caller must not change the policy's maps afterwards.
func (s *Scheduler) Configure(p Policy) {
	s.executors.configure(p)
	s.workers.configure(p)
}

// Join adds an endpoint or updates its description.
func (s *Scheduler) Join(e Endpoint) {
	if e.Kind == point.Executor {
		s.executors.join(&e)
		return
	}
	s.workers.join(&e)
}

// Leave stops placing new work on an endpoint. Running tasks are not affected.
func (s *Scheduler) Leave(name string) {
	s.executors.leave(name)
	s.workers.leave(name)
}

// Drop removes an endpoint that another placer owns now, and the tasks on it.
// The caller must call Ended before for each task that is known to have ended.
func (s *Scheduler) Drop(name string) { s.DropTo(name, "") }

// DropTo is like Drop, and passes the name of the new owner to the Limit.
func (s *Scheduler) DropTo(name, newOwner string) {
	s.executors.drop(name, newOwner)
	s.workers.drop(name, newOwner)
}

// Report records the resource usage that an endpoint has measured.
func (s *Scheduler) Report(name string, used wire.Needs) {
	if !s.executors.report(name, used) {
		s.workers.report(name, used)
	}
}

// Used records the measured resource usage of a running task.
func (s *Scheduler) Used(id string, task int, used wire.Needs) {
	if !s.executors.recordUsage(id, task, used) {
		s.workers.recordUsage(id, task, used)
	}
}

// Adopt adds a task that was found running on an endpoint that joined.
func (s *Scheduler) Adopt(endpoint string, t Task) {
	if !s.executors.adopt(endpoint, &t) {
		s.workers.adopt(endpoint, &t)
	}
}

// Submit queues a request, or further tasks of a known request. It returns a
// *RefusedError if the request is rejected.
func (s *Scheduler) Submit(item Item) error {
	return s.pool(item.Kind).submit(item)
}

// Cancel drops the waiting tasks of a request. It returns true if the request
// was known and none of its tasks held room, so that none will start. The
// caller stops the tasks for which Decide has already returned a start.
func (s *Scheduler) Cancel(id string) bool {
	found, unstarted := s.executors.cancel(id)
	if !found {
		_, unstarted = s.workers.cancel(id)
	}
	return unstarted
}

// Decide runs a scheduling pass and returns the tasks to start, for which room
// is allocated, and the tasks to checkpoint. Call it after each change and at
// least every 100 ms, because limits change without notice.
func (s *Scheduler) Decide() []Decision {
	return s.workers.decide(s.executors.decide(nil))
}

// Started confirms the start of a task.
func (s *Scheduler) Started(id string, task int) {
	if !s.executors.started(id, task) {
		s.workers.started(id, task)
	}
}

// Unsent reports that the start of a task certainly didn't happen. Its room is
// freed and the task is queued again, unless the request was cancelled.
//
// If the task is a member of a gang, the whole gang is queued again once Unsent
// or Ended was called for each other member; the caller stops those that have
// started. A gang with a dropped or adopted member is not queued again, because
// the scheduler doesn't know all of its members; the caller submits it again.
func (s *Scheduler) Unsent(id string, task int) {
	if !s.executors.unsent(id, task) {
		s.workers.unsent(id, task)
	}
}

// Ended reports that a task no longer runs; ok reports whether it succeeded.
// The caller submits a checkpointed task again.
func (s *Scheduler) Ended(id string, task int, ok bool) {
	if !s.executors.ended(id, task, ok) {
		s.workers.ended(id, task, ok)
	}
}

// Expire drops the waiting tasks of requests whose deadline has passed and
// returns them as items with their task numbers.
func (s *Scheduler) Expire() []Item {
	return s.workers.expire(s.executors.expire(nil))
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int { return s.executors.waiting() + s.workers.waiting() }

// Backlog returns the number of requests that wait for workers.
func (s *Scheduler) Backlog() int { return s.workers.waiting() }

// Free returns the total free room on open endpoints by kind of request.
func (s *Scheduler) Free() map[wire.Kind]wire.Needs {
	room := s.workers.free()
	return map[wire.Kind]wire.Needs{
		wire.Quick: s.executors.free(), wire.Batch: room, wire.Gang: room, wire.Service: room,
	}
}

// Queued returns the number of waiting requests in each queue.
func (s *Scheduler) Queued() map[string]int {
	m := make(map[string]int)
	s.executors.addQueued(m)
	s.workers.addQueued(m)
	return m
}

// OldestWaits returns the waiting time of the oldest request in each queue.
func (s *Scheduler) OldestWaits() map[string]time.Duration {
	m := make(map[string]time.Duration)
	s.executors.addWaits(m)
	s.workers.addWaits(m)
	return m
}
