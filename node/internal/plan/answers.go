package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// refusedBackoff keeps new work from an executor that refused some because it
	// isn't healthy, about as long as an overload lasts.
	refusedBackoff = time.Second
	// noRoomBackoff keeps new work from one that said that it has no room: another's
	// runs are there, and the next report tells which.
	noRoomBackoff = 300 * time.Millisecond
)

// Started notes that an executor confirmed a start.
func (s *State) Started(now time.Time, o Start) {
	if r := s.find(o.Executor, o.Task, o.Number); r != nil {
		r.confirmedAt, r.seen = now, true
		if r.state == starting || r.state == inDoubt {
			r.state = active
		}
	}
}

// Refusal is why a start surely didn't happen.
type Refusal int

// The kinds of refusals.
const (
	RefusedBusy   Refusal = iota // the executor isn't healthy
	RefusedRoom                  // it has no room
	RefusedTicket                // the ticket isn't good
	RefusedNumber                // the run's number is too low there
	RefusedLate                  // the lease had ended
	RefusedUnsent                // the order was never sent
)

// Refused notes that a start surely didn't happen.
func (s *State) Refused(now time.Time, o Start, why Refusal) {
	r := s.find(o.Executor, o.Task, o.Number)
	if r == nil {
		return
	}
	switch why {
	case RefusedBusy, RefusedUnsent:
		r.executor.backoffUntil = now.Add(refusedBackoff)
	case RefusedRoom:
		r.executor.backoffUntil = now.Add(noRoomBackoff)
	case RefusedTicket:
		r.stage.advice.expire(o.Executor)
	case RefusedNumber, RefusedLate:
	}
	s.removeRun(r)
	if r.stage.spec.Gang {
		s.stopRuns(r.stage, now)
	}
}

// Wanted reports whether a start that wasn't sent yet is to be sent.
func (s *State) Wanted(o *Start) bool {
	r := s.find(o.Executor, o.Task, o.Number)
	return r != nil && r.state == starting && !r.stage.occur.job.phase.Final()
}

// Unanswered notes that a start may or may not have happened.
func (s *State) Unanswered(now time.Time, o Start) {
	if r := s.find(o.Executor, o.Task, o.Number); r != nil && r.state == starting {
		r.state = inDoubt
		r.startedAt = now
	}
}

// Stopped notes that an executor confirmed a stop: the run ends, or won't start.
// It reports whether the run hasn't been seen there: if it hasn't begun, the next
// report lets the task start elsewhere.
func (s *State) Stopped(now time.Time, o Stop) bool {
	r := s.find(o.Executor, o.Task, o.Number)
	if r == nil {
		return false
	}
	r.confirmedAt = now
	return !r.seen
}

// find returns a run on an executor, or nil.
func (s *State) find(executorID string, t model.Task, number int) *run {
	e := s.executors[executorID]
	if e == nil {
		return nil
	}
	return e.runs[runKey{task: t, number: number}]
}

// stopRuns stops what is there of a gang, since it can't be whole.
func (s *State) stopRuns(st *stage, now time.Time) {
	if st.spec.Gang && st.unfinished == 0 {
		return // It has ended; the members' own ends are on their way.
	}
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.state != stopping {
			s.stopRun(r, now)
		}
	}
}

// Cancel ends a job at the request of its team. It reports whether the job is
// known and hadn't ended.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil || j.phase.Final() {
		return false
	}
	s.endJob(j, model.Cancelled, now)
	return true
}

// endJob ends a job and stops what runs of it.
func (s *State) endJob(j *job, phase model.Phase, now time.Time) {
	j.phase = phase
	s.markDirty(j)
	for _, o := range j.occurs {
		for _, st := range o.stages {
			s.stopRuns(st, now)
		}
	}
}
