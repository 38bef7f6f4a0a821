package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Report is what an executor said of its runs.
type Report struct {
	Asked time.Time // when the question was sent
	Runs  []model.Run
	Ends  []model.End // new ones, in order
	More  bool        // there are more ends than fit
}

// Reported takes an executor's report. Runs that it knows and the plan doesn't
// are adopted or stopped; runs that the plan knows and it doesn't are gone if
// the executor had confirmed them before it was asked.
func (s *State) Reported(now time.Time, id string, rep Report) {
	e := s.executors[id]
	if e == nil {
		return
	}
	e.runsKnown, e.silent, e.lastReport = true, false, now
	for _, end := range rep.Ends {
		s.runEnded(now, e, end)
	}
	seen := make(map[runKey]bool, len(rep.Runs))
	for i := range rep.Runs {
		seen[runKey{task: rep.Runs[i].Task, number: rep.Runs[i].Number}] = true
		s.confirm(now, rep.Asked, e, &rep.Runs[i])
	}
	if rep.More {
		return
	}
	for key, r := range e.runs {
		if seen[key] {
			continue
		}
		switch {
		case r.state == stopping && r.seen && !rep.Asked.After(r.confirmedAt.Add(s.maxStopTime)):
			// Its end will be listed.
		case !r.confirmedAt.IsZero() && rep.Asked.After(r.confirmedAt):
			s.removeRun(r)
			if r.stage.spec.Gang {
				s.stopRuns(r.stage, now)
			}
		case r.state == inDoubt && rep.Asked.After(r.startedAt):
			s.stopRun(r, now)
		}
	}
}

// confirm takes one run that an executor, asked at asked, says is there.
func (s *State) confirm(now, asked time.Time, e *executor, m *model.Run) {
	r := e.runs[runKey{task: m.Task, number: m.Number}]
	if r == nil {
		r = s.adopt(now, e, m)
		if r == nil {
			return
		}
	}
	r.seen, r.restored = true, false
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.state == starting || r.state == inDoubt {
		r.state = active
	}
	if r.unwanted && r.state == active {
		s.stopRun(r, now)
	}
	if m.Percent != r.percent {
		r.percent, r.progressedAt = m.Percent, now
	} else {
		s.checkStall(r, asked, now)
	}
	r.gauge = m.Gauge
	r.stage.saveCheckpoint(r.index, m.Checkpoint)
}

// adopt takes a run into the plan that an earlier owner started, or stops it if
// it isn't wanted.
func (s *State) adopt(now time.Time, e *executor, m *model.Run) *run {
	st := s.stageOf(m.Task)
	if st == nil { // What it needs isn't known, so that nothing else may start beside it.
		e.backoffUntil = now.Add(unknownRunBackoff)
		s.orders.Stops = append(s.orders.Stops, Stop{Task: m.Task, Number: m.Number, Executor: e.info.ID})
		return nil
	}
	j := st.occur.job
	t := &st.tasks[m.Task.Index]
	if t.run != nil && t.run.restored && t.run.number < m.Number {
		s.supersede(t.run) // The record was older than this run.
	}
	if j.phase.Final() || t.done || t.run != nil {
		r := s.newRun(st, m.Task.Index, m.Number, e, active, now)
		t.lastNumber = max(t.lastNumber, r.number)
		s.markUnwanted(r)
		s.stopRun(r, now)
		return r
	}
	s.markRunning(j)
	return s.attachRun(st, m.Task.Index, m.Number, e, active, now)
}

// unknownRunBackoff keeps new work from an executor on which something unknown runs,
// until its next report.
const unknownRunBackoff = 3 * time.Second

// stageOf returns the stage of a task of a known job, or nil.
func (s *State) stageOf(t model.Task) *stage {
	j := s.jobs[t.Job]
	if j == nil || t.Step < 0 || t.Step >= len(j.spec.Steps) {
		return nil
	}
	if t.Index < 0 || t.Index >= j.spec.Steps[t.Step].Count {
		return nil
	}
	o := j.occurrence(t.Occur)
	if o == nil {
		return nil
	}
	return o.stages[t.Step]
}

// markRunning notes that a task of the job has started.
func (s *State) markRunning(j *job) {
	if j.phase == model.Queued {
		j.phase = model.Running
		s.markDirty(j)
	}
}
