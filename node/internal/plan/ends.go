package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// runEnded takes the end of a run.
func (s *State) runEnded(now time.Time, w *worker, e model.End) {
	st := s.stageOf(e.Task)
	if r := w.runs[runKey{task: e.Task, number: e.Number}]; r != nil {
		if e.Outcome == model.RunDone {
			s.timed(r.stage, w, now.Sub(r.began))
		}
		r.stage.save(r.index, e.Checkpoint)
		s.dropRun(r)
	} else if st != nil {
		t := &st.tasks[e.Task.Index]
		t.last = max(t.last, e.Number)
		st.save(e.Task.Index, e.Checkpoint)
	}
	if st == nil || st.occur.job.phase.Final() {
		return
	}
	switch e.Outcome {
	case model.RunDone:
		w.succeeded()
		if !st.spec.Lasting {
			s.done(st, e.Task.Index, now)
		}
	case model.RunFailed:
		w.failed(st.occur.job.spec.ID, now)
		if st.faulty == nil {
			st.faulty = make(map[string]bool)
		}
		st.faulty[w.info.ID] = true
		s.failed(st, e, now)
	case model.RunStopped, model.RunLapsed, model.RunBroken, model.RunAlone:
	}
	if st.spec.Gang && e.Outcome != model.RunDone {
		s.stopRuns(st, now)
	}
}

// done notes that a task has ended well; one end stands for a whole gang.
func (s *State) done(st *stage, index int, now time.Time) {
	o := st.occur
	if st.spec.Gang {
		for i := range st.tasks {
			st.finish(i)
		}
	} else {
		if !st.finish(index) {
			return
		}
		if r := st.tasks[index].run; r != nil {
			s.stopRun(r, now) // Another run of it isn't needed any more.
		}
	}
	s.running(o.job)
	s.changed(o.job)
	if !o.done() {
		return
	}
	o.job.finished[o.number] = true
	if len(o.job.finished) == o.job.spec.Occurrences() {
		s.finish(o.job, model.Done, now)
		return
	}
	delete(o.job.occurs, o.number)
}

// failed counts a failed run. Lasting tasks are restarted however often they
// fail.
func (s *State) failed(st *stage, e model.End, now time.Time) {
	if st.spec.Lasting {
		return
	}
	i := e.Task.Index
	if st.spec.Gang {
		i = 0
	}
	t := &st.tasks[i]
	if t.done || !t.fail(e.Number) {
		return
	}
	j := st.occur.job
	s.running(j)
	s.changed(j)
	if len(t.failed) >= j.attempts() {
		s.finish(j, model.Failed, now)
	}
}
