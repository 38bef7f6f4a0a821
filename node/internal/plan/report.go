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
	w := s.execs[id]
	if w == nil {
		return
	}
	w.known, w.silent, w.reported = true, false, now
	for _, e := range rep.Ends {
		s.runEnded(now, w, e)
	}
	seen := make(map[runKey]bool, len(rep.Runs))
	for i := range rep.Runs {
		seen[runKey{task: rep.Runs[i].Task, number: rep.Runs[i].Number}] = true
		s.confirm(now, rep.Asked, w, &rep.Runs[i])
	}
	if rep.More {
		return
	}
	for key, r := range w.runs {
		if seen[key] {
			continue
		}
		switch {
		case r.state == stopping && r.present && !rep.Asked.After(r.certain.Add(s.stopTime)):
			// Its end will be listed.
		case !r.certain.IsZero() && rep.Asked.After(r.certain):
			s.dropRun(r)
			if r.stage.spec.Gang {
				s.stopRuns(r.stage, now)
			}
		case r.state == inDoubt && rep.Asked.After(r.began):
			s.stopRun(r, now)
		}
	}
}

// confirm takes one run that an executor, asked at asked, says is there.
func (s *State) confirm(now, asked time.Time, w *worker, m *model.Run) {
	r := w.runs[runKey{task: m.Task, number: m.Number}]
	if r == nil {
		r = s.adopt(now, w, m)
		if r == nil {
			return
		}
	}
	r.present, r.restored = true, false
	if r.certain.IsZero() {
		r.certain = now
	}
	if r.state == starting || r.state == inDoubt {
		r.state = active
	}
	if r.spare && r.state == active {
		s.stopRun(r, now)
	}
	if m.Percent != r.percent {
		r.percent, r.moved = m.Percent, now
	} else {
		s.checkStall(r, asked, now)
	}
	r.gauge = m.Gauge
	r.stage.save(r.index, m.Checkpoint)
}

// adopt takes a run into the plan that an earlier owner started, or stops it if
// it isn't wanted.
func (s *State) adopt(now time.Time, w *worker, m *model.Run) *run {
	st := s.stageOf(m.Task)
	if st == nil { // What it needs isn't known, so that nothing else may start beside it.
		w.shunned = now.Add(shunForeign)
		s.orders.Stops = append(s.orders.Stops, Stop{Task: m.Task, Number: m.Number, Executor: w.info.ID})
		return nil
	}
	j := st.occur.job
	t := &st.tasks[m.Task.Index]
	if t.run != nil && t.run.restored && t.run.number < m.Number {
		s.release(t.run) // The record was older than this run.
	}
	if j.phase.Final() || t.done || t.run != nil {
		r := s.newRun(st, m.Task.Index, m.Number, w, active, now)
		t.last = max(t.last, r.number)
		s.unwanted(r)
		s.stopRun(r, now)
		return r
	}
	s.running(j)
	return s.attachRun(st, m.Task.Index, m.Number, w, active, now)
}

// shunForeign keeps new work from an executor on which something unknown runs,
// until its next report.
const shunForeign = 3 * time.Second

// stageOf returns the stage of a task of a known job, or nil.
func (s *State) stageOf(t model.Task) *stage {
	j := s.jobs[t.Job]
	if j == nil || t.Step < 0 || t.Step >= len(j.spec.Steps) {
		return nil
	}
	if t.Index < 0 || t.Index >= j.spec.Steps[t.Step].Count {
		return nil
	}
	o := j.begin(t.Occur)
	if o == nil {
		return nil
	}
	return o.stages[t.Step]
}

// running notes that a task of the job has started.
func (s *State) running(j *job) {
	if j.phase == model.Queued {
		j.phase = model.Running
		s.changed(j)
	}
}
