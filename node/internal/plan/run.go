package plan

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// runState is what is known of a run.
type runState int

const (
	starting runState = iota // ordered, not yet answered
	inDoubt                  // the order's answer was lost
	active                   // present on the executor
	stopping                 // ordered to stop
)

// run is a run that may be present on an executor.
type run struct {
	stage         *stage
	index         int
	number        int
	executor      *executor
	state         runState
	reserved      model.Amount // taken on the executor
	need          model.Amount // counted for the team
	urgent        bool         // counted as urgent work of the team
	startedAt     time.Time
	confirmedAt   time.Time // when the executor confirmed a start or stop of it; zero if it hasn't
	unwanted      bool      // it isn't the wanted run of its task
	restored      bool      // it is known from a record alone
	seen          bool      // it has been there: it takes room until its end is listed
	stopOrderedAt time.Time // when a stop was last ordered
	percent       int
	progressedAt  time.Time // when percent last changed
	gauge         int64
	pace          int // percent
}

// runKey names a run.
type runKey struct {
	task   model.Task
	number int
}

func (r *run) key() runKey { return runKey{task: r.stage.taskID(r.index), number: r.number} }

// attachRun counts a run of a stage on an executor.
func (s *State) attachRun(st *stage, i, number int, e *executor, state runState, now time.Time) *run {
	r := s.newRun(st, i, number, e, state, now)
	st.attach(i, r)
	s.markDirty(st.occur.job)
	return r
}

// newRun counts a run on an executor that isn't its task's wanted one yet.
func (s *State) newRun(st *stage, i, number int, e *executor, state runState, now time.Time) *run {
	r := &run{
		stage: st, index: i, number: number, executor: e, state: state, reserved: st.spec.Room(), need: st.spec.Need,
		startedAt: now, progressedAt: now, pace: fullPace,
	}
	s.addRun(r)
	return r
}

// supersede takes a task's wanted run away; it counts until it is known to be gone.
func (s *State) supersede(r *run) {
	r.stage.detach(r.index, r)
	s.markUnwanted(r)
}

// markUnwanted notes that a run isn't its task's wanted one: the task doesn't start while
// it may be present.
func (s *State) markUnwanted(r *run) {
	t := &r.stage.tasks[r.index]
	t.unwanted = append(t.unwanted, r)
	r.unwanted = true
	s.markDirty(r.stage.occur.job)
}

// addRun takes what a run needs from its executor's room and its team's limit.
func (s *State) addRun(r *run) {
	r.executor.runs[r.key()] = r
	r.executor.used = r.executor.used.Add(r.reserved)
	if r.stage.spec.Filler {
		r.executor.fillerCPU += r.stage.spec.Need.CPU
	}
	r.urgent = r.stage.urgent()
	j := r.stage.occur.job
	j.runCount++
	t := s.team(j.spec.Team)
	t.used = t.used.Add(r.need)
	if r.urgent {
		t.urgentCPU += r.need.CPU
		r.executor.urgentRuns++
	}
}

// removeRun forgets a run that is certain to be gone.
func (s *State) removeRun(r *run) {
	if r.executor.runs[r.key()] != r {
		return
	}
	delete(r.executor.runs, r.key())
	r.executor.used = r.executor.used.Sub(r.reserved)
	if r.stage.spec.Filler {
		r.executor.fillerCPU -= r.stage.spec.Need.CPU
	}
	j := r.stage.occur.job
	j.runCount--
	t := s.team(j.spec.Team)
	t.used = t.used.Sub(r.need)
	if r.urgent {
		t.urgentCPU -= r.need.CPU
		r.executor.urgentRuns--
	}
	if r.unwanted {
		t := &r.stage.tasks[r.index]
		t.unwanted = slices.DeleteFunc(t.unwanted, func(x *run) bool { return x == r })
	}
	r.stage.detach(r.index, r)
	if !j.phase.Final() {
		s.markDirty(j) // A successor must not wait for it.
	}
}

// stopRun orders a run to stop.
func (s *State) stopRun(r *run, now time.Time) {
	r.state = stopping
	r.stopOrderedAt = now
	s.orders.Stops = append(s.orders.Stops, Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID})
}
