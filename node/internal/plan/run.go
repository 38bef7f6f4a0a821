package plan

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// runState is the state of a run as its owner knows it.
type runState int

const (
	starting runState = iota // ordered, no answer yet
	inDoubt                  // the outcome of the start is unknown
	active                   // present on the executor
	stopping                 // a stop is ordered
)

// run is an attempt to execute a task. It may exist on its executor until it is known
// to be gone.
type run struct {
	stage         *stage
	index         int
	number        int
	executor      *executor
	state         runState
	reserved      model.Amount // capacity that it takes on the executor
	need          model.Amount // counted against the team's limit
	urgent        bool         // counted as urgent work of the team
	startedAt     time.Time    // when it was ordered or first known; if in doubt, since when
	confirmedAt   time.Time    // when the executor confirmed its start or stop; zero if it hasn't
	unwanted      bool         // it isn't the current run of its task
	spare         bool         // it is unwanted because a copy may start, and may still finish first
	restored      bool         // known only from a record
	seen          bool         // the executor has confirmed that it exists; its end will be reported
	ran           bool         // an executor has confirmed it at some time, maybe in an earlier life
	stopOrderedAt time.Time
	percent       int           // progress
	firstPercent  int           // progress in the first report of it
	firstReport   time.Time     // when that came; zero for none
	progressTime  time.Duration // from then until percent last changed
	progressedAt  time.Time     // when percent last changed, or the run was last found stalled
	gauge         int64         // tail latency in ms, if the step has a latency target
	pace          int           // percent
	paceInDoubt   bool          // the executor may have another one: an earlier owner started the run, or an order failed
}

// runKey identifies a run.
type runKey struct {
	task   model.Task
	number int
}

func (r *run) key() runKey { return runKey{task: r.stage.taskID(r.index), number: r.number} }

// attachRun creates a run on an executor as the current run of task i.
func (s *State) attachRun(st *stage, i, number int, e *executor, state runState, now time.Time) *run {
	r := s.newRun(st, i, number, e, state, now)
	st.attach(i, r)
	s.markDirty(st.occur.job)
	return r
}

// newRun creates a run on an executor without making it the current run of its task.
func (s *State) newRun(st *stage, i, number int, e *executor, state runState, now time.Time) *run {
	r := &run{
		stage: st, index: i, number: number, executor: e, state: state, reserved: st.spec.Room(), need: st.spec.Need,
		startedAt: now, progressedAt: now, pace: fullPace,
	}
	s.addRun(r)
	return r
}

// supersede makes the current run of a task an unwanted one. It still occupies
// capacity until it is known to be gone.
func (s *State) supersede(r *run) {
	r.stage.detach(r.index, r)
	s.markUnwanted(r)
}

// markUnwanted notes that a run isn't the current one of its task. The task doesn't
// start again while it may exist.
func (s *State) markUnwanted(r *run) {
	t := &r.stage.tasks[r.index]
	t.unwanted = append(t.unwanted, r)
	r.unwanted = true
	s.markDirty(r.stage.occur.job)
}

// addRun adds a run to the usage of its executor and its team.
func (s *State) addRun(r *run) {
	s.markChanged(r.executor)
	r.executor.runs[r.key()] = r
	r.executor.used = r.executor.used.Add(r.reserved)
	if r.stage.spec.Filler {
		r.executor.fillerCPU += r.stage.spec.Need.CPU
	}
	r.urgent = r.stage.urgent()
	j := r.stage.occur.job
	j.runCount++
	t := j.team
	t.used = t.used.Add(r.need)
	if r.stage.spec.Lasting {
		t.lastingCPU += r.need.CPU
		r.executor.lastingCPU += r.reserved.CPU
	}
	if r.urgent {
		t.urgentCPU += r.need.CPU
		r.executor.urgentRuns++
	}
}

// removeRun removes a run that is known to be gone.
func (s *State) removeRun(r *run) {
	if r.executor.runs[r.key()] != r {
		return
	}
	s.markChanged(r.executor)
	delete(r.executor.runs, r.key())
	r.executor.used = r.executor.used.Sub(r.reserved)
	if r.stage.spec.Filler {
		r.executor.fillerCPU -= r.stage.spec.Need.CPU
	}
	j := r.stage.occur.job
	j.runCount--
	t := j.team
	t.used = t.used.Sub(r.need)
	if r.stage.spec.Lasting {
		t.lastingCPU -= r.need.CPU
		r.executor.lastingCPU -= r.reserved.CPU
	}
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
		s.markDirty(j) // A successor would wait for the run if it stayed in the record.
	}
}

// stopRun orders a run to stop.
func (s *State) stopRun(r *run, now time.Time) {
	r.state = stopping
	r.stopOrderedAt = now
	s.orders.Stops = append(s.orders.Stops, Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID})
}
