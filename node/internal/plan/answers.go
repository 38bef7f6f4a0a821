package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// refusedBackoff is how long an executor gets no new work after it refused a
	// start because it is unhealthy, or the start couldn't be sent. An overload lasts
	// about as long.
	refusedBackoff = time.Second
	// noCapacityBackoff is how long an executor gets no new work after it refused a
	// start for lack of capacity: it has runs that the State doesn't know, and its
	// next report lists them.
	noCapacityBackoff = 300 * time.Millisecond
)

// Started notes that an executor confirmed a start.
func (s *State) Started(now time.Time, o Start) {
	if r := s.find(o.Executor, o.Task, o.Number); r != nil {
		r.confirmedAt, r.seen, r.ran = now, true, true
		if r.state == starting || r.state == inDoubt {
			r.state = active
		}
		s.markRunning(r.stage.occur.job)
	}
}

// Refused notes that a start is known not to have happened. The task may start
// elsewhere.
func (s *State) Refused(now time.Time, o Start, why Refusal) {
	r := s.find(o.Executor, o.Task, o.Number)
	if r == nil {
		return
	}
	switch why {
	case RefusedBusy, RefusedUnsent:
		r.executor.backoffUntil = now.Add(refusedBackoff)
	case RefusedRoom:
		r.executor.backoffUntil = now.Add(noCapacityBackoff)
	case RefusedTicket:
		r.stage.advice.expire(o.Executor, o.Ticket, now)
		s.requireTickets(r.stage.occur.job, now)
	case RefusedNumber, RefusedLate, RefusedEvacuated:
	}
	s.removeRun(r)
	if r.stage.spec.Gang {
		s.stopRuns(r.stage, now)
	}
}

// StillWanted reports whether a start that hasn't been sent yet should still be sent.
func (s *State) StillWanted(now time.Time, o *Start) bool {
	r := s.find(o.Executor, o.Task, o.Number)
	if r == nil || r.state != starting {
		return false
	}
	j := r.stage.occur.job
	return !j.phase.Final() && (o.Ticket != "" || !s.advised(j, now))
}

// Unanswered notes that the outcome of a start is unknown.
func (s *State) Unanswered(now time.Time, o Start) {
	if r := s.find(o.Executor, o.Task, o.Number); r != nil && r.state == starting {
		r.state = inDoubt
		r.startedAt = now
	}
}

// Stopped notes that an executor confirmed a stop: the run ends, or it won't start.
// Stopped returns true if the executor never confirmed the run. Such a run may never
// have started, and the executor's next report then lets the task start elsewhere.
func (s *State) Stopped(now time.Time, o Stop) bool {
	r := s.find(o.Executor, o.Task, o.Number)
	if r == nil {
		return false
	}
	r.confirmedAt = now
	return !r.seen
}

// find returns the run with the given number on an executor, or nil.
func (s *State) find(executorID string, t model.Task, number int) *run {
	e := s.executors[executorID]
	if e == nil {
		return nil
	}
	return e.runs[runKey{task: t, number: number}]
}

// stopRuns stops all current runs of a stage, unless it is a gang that is done.
func (s *State) stopRuns(st *stage, now time.Time) {
	if st.spec.Gang && st.unfinished == 0 {
		return // The ends of the other members will be reported.
	}
	for i := range st.tasks {
		if r := st.tasks[i].run; r != nil && r.state != stopping {
			s.stopRun(r, now)
		}
		s.stopSpares(st, i, now)
	}
}

// stopSpares stops the runs of task i that might have finished before its copy.
func (s *State) stopSpares(st *stage, i int, now time.Time) {
	for _, r := range st.tasks[i].unwanted {
		if r.spare && r.state != stopping {
			s.stopRun(r, now)
		}
	}
}

// Cancel ends a job at the request of its team. It returns false if the job is
// unknown or has ended.
func (s *State) Cancel(now time.Time, id string) bool {
	j := s.jobs[id]
	if j == nil || j.phase.Final() {
		return false
	}
	s.endJob(j, model.Cancelled, now)
	return true
}

// endJob puts a job into a final phase and stops its runs.
func (s *State) endJob(j *job, phase model.Phase, now time.Time) {
	j.phase = phase
	s.release(j)
	s.markDirty(j)
	for _, o := range j.occurs {
		for _, st := range o.stages {
			s.stopRuns(st, now)
		}
	}
}
