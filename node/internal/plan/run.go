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
	stage    *stage
	index    int
	number   int
	on       *worker
	state    runState
	room     model.Amount // taken on the executor
	need     model.Amount // counted for the team
	urgent   bool         // counted as urgent work of the team
	began    time.Time
	certain  time.Time // when the executor confirmed a start or stop of it; zero if it hasn't
	spare    bool      // it isn't the wanted run of its task
	restored bool      // it is known from a record alone
	present  bool      // it has been there: it takes room until its end is listed
	stopped  time.Time // when a stop was last ordered
	percent  int
	moved    time.Time // when percent last changed
	gauge    int64
	pace     int // percent
}

// runKey names a run.
type runKey struct {
	task   model.Task
	number int
}

func (r *run) key() runKey { return runKey{task: r.stage.name(r.index), number: r.number} }

// attachRun counts a run of a stage on an executor.
func (s *State) attachRun(st *stage, i, number int, w *worker, state runState, now time.Time) *run {
	r := s.newRun(st, i, number, w, state, now)
	st.attach(i, r)
	s.changed(st.occur.job)
	return r
}

// newRun counts a run on an executor that isn't its task's wanted one yet.
func (s *State) newRun(st *stage, i, number int, w *worker, state runState, now time.Time) *run {
	r := &run{
		stage: st, index: i, number: number, on: w, state: state, room: st.spec.Room(), need: st.spec.Need,
		began: now, moved: now, pace: fullPace,
	}
	s.count(r)
	return r
}

// release takes a task's wanted run away; it counts until it is known to be gone.
func (s *State) release(r *run) {
	r.stage.detach(r.index, r)
	s.unwanted(r)
}

// unwanted notes that a run isn't its task's wanted one: the task doesn't start while
// it may be present.
func (s *State) unwanted(r *run) {
	t := &r.stage.tasks[r.index]
	t.spares = append(t.spares, r)
	r.spare = true
	s.changed(r.stage.occur.job)
}

// count takes what a run needs from its executor's room and its team's limit.
func (s *State) count(r *run) {
	r.on.runs[r.key()] = r
	r.on.used = r.on.used.Add(r.room)
	if r.stage.spec.Filler {
		r.on.fill += r.stage.spec.Need.CPU
	}
	r.urgent = r.stage.urgent()
	j := r.stage.occur.job
	j.runs++
	t := s.team(j.spec.Team)
	t.used = t.used.Add(r.need)
	if r.urgent {
		t.urgent += r.need.CPU
		r.on.urgent++
	}
}

// dropRun forgets a run that is certain to be gone.
func (s *State) dropRun(r *run) {
	if r.on.runs[r.key()] != r {
		return
	}
	delete(r.on.runs, r.key())
	r.on.used = r.on.used.Sub(r.room)
	if r.stage.spec.Filler {
		r.on.fill -= r.stage.spec.Need.CPU
	}
	j := r.stage.occur.job
	j.runs--
	t := s.team(j.spec.Team)
	t.used = t.used.Sub(r.need)
	if r.urgent {
		t.urgent -= r.need.CPU
		r.on.urgent--
	}
	if r.spare {
		t := &r.stage.tasks[r.index]
		t.spares = slices.DeleteFunc(t.spares, func(x *run) bool { return x == r })
	}
	r.stage.detach(r.index, r)
	if !j.phase.Final() {
		s.changed(j) // A successor must not wait for it.
	}
}

// stopRun orders a run to stop.
func (s *State) stopRun(r *run, now time.Time) {
	r.state = stopping
	r.stopped = now
	s.orders.Stops = append(s.orders.Stops, Stop{Task: r.stage.name(r.index), Number: r.number, Executor: r.on.info.ID})
}
