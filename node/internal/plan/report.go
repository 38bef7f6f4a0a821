package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Report is an executor's report of its runs.
type Report struct {
	RequestedAt time.Time // when the report was requested
	Runs        []model.Run
	Ends        []model.End // new ones, in order
	More        bool        // the report doesn't have all ends
}

// Reported applies an executor's report. Reported runs that the State doesn't have
// are adopted or stopped. Runs that the report lacks are gone if the executor had
// confirmed them before the report was requested.
func (s *State) Reported(now time.Time, id string, rep Report) {
	e := s.executors[id]
	if e == nil {
		return
	}
	if e.silent {
		s.noteReturn(e, now)
	}
	e.runsKnown, e.silent, e.lastReport = true, false, now
	s.markChanged(e)
	for _, end := range rep.Ends {
		s.runEnded(now, e, end)
	}
	seen := make(map[runKey]bool, len(rep.Runs))
	for i := range rep.Runs {
		seen[runKey{task: rep.Runs[i].Task, number: rep.Runs[i].Number}] = true
		s.confirm(now, rep.RequestedAt, e, &rep.Runs[i])
	}
	if rep.More {
		return
	}
	for key, r := range e.runs {
		if seen[key] {
			continue
		}
		switch {
		case r.state == stopping && r.seen && !rep.RequestedAt.After(r.confirmedAt.Add(s.maxStopTime)):
			// Its end will be reported.
		case !r.confirmedAt.IsZero() && rep.RequestedAt.After(r.confirmedAt):
			if r.seen && r.state != stopping {
				s.orders.Vanished = append(s.orders.Vanished, Vanished{
					Stop: Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: e.info.ID}, For: now.Sub(r.confirmedAt),
				})
			}
			s.noteWasted(r, WastedLost, now)
			s.removeRun(r)
			if r.stage.spec.Gang {
				s.stopRuns(r.stage, now)
			}
		case r.state == inDoubt && rep.RequestedAt.After(r.startedAt):
			s.stopRun(r, now)
		}
	}
}

// confirm handles one run in a report that was requested at requestedAt.
func (s *State) confirm(now, requestedAt time.Time, e *executor, reported *model.Run) {
	r := e.runs[runKey{task: reported.Task, number: reported.Number}]
	if r == nil {
		r = s.adopt(now, e, reported)
		if r == nil {
			return
		}
	}
	s.markRunning(r.stage.occur.job)
	r.seen, r.ran, r.restored = true, true, false
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if r.state == starting || r.state == inDoubt {
		r.state = active
	}
	if r.unwanted && r.state == active && (!r.spare || r.stage.tasks[r.index].done || r.stage.occur.job.phase.Final()) {
		s.stopRun(r, now)
	}
	if r.firstReport.IsZero() {
		r.firstPercent, r.firstReport = reported.Percent, now
	}
	if reported.Percent != r.percent {
		r.percent, r.progressedAt, r.progressTime = reported.Percent, now, now.Sub(r.firstReport)
		e.progressedAt = now
	} else {
		s.checkStall(r, requestedAt, now)
	}
	r.gauge = reported.Gauge
	r.stage.saveCheckpoint(r.index, reported.Checkpoint, now)
}

// adopt adds a reported run that the State doesn't have, which an earlier owner
// started. It stops the run if its job has ended, its task is done, or the task has
// another current run.
func (s *State) adopt(now time.Time, e *executor, reported *model.Run) *run {
	st := s.reportedStage(now, reported.Task)
	if st == nil { // Its needs are unknown, so that no other run may start beside it.
		e.backoffUntil = now.Add(unknownRunBackoff)
		s.orders.Stops = append(s.orders.Stops, Stop{Task: reported.Task, Number: reported.Number, Executor: e.info.ID})
		return nil
	}
	j := st.occur.job
	t := &st.tasks[reported.Task.Index]
	if t.run != nil && t.run.restored && t.run.number < reported.Number {
		s.supersede(t.run) // The record is older than this run.
	}
	if j.phase.Final() || t.done || t.run != nil {
		s.noteDuplicate(t, Stop{Task: reported.Task, Number: reported.Number, Executor: e.info.ID})
		r := s.newRun(st, reported.Task.Index, reported.Number, e, active, now)
		r.paceInDoubt = true
		t.lastNumber = max(t.lastNumber, r.number)
		s.markUnwanted(r)
		s.stopRun(r, now)
		return r
	}
	r := s.attachRun(st, reported.Task.Index, reported.Number, e, active, now)
	r.paceInDoubt = true
	return r
}

// noteDuplicate notes that a task has a run though it is done or has another one.
func (s *State) noteDuplicate(t *task, found Stop) {
	d := Duplicate{Stop: found, Done: t.done}
	if t.run != nil {
		d.Other = t.run.place()
	}
	if d.Done || t.run != nil {
		s.orders.Duplicates = append(s.orders.Duplicates, d)
	}
}

// unknownRunBackoff is how long an executor gets no new work after it reported a run
// of an unknown task. Each report of one extends it.
const unknownRunBackoff = 3 * time.Second

// stageOf returns the stage of a task, or nil if the task is unknown or its
// occurrence isn't open.
func (s *State) stageOf(t model.Task) *stage {
	j := s.jobWith(t)
	if j == nil || j.occurs[t.Occur] == nil {
		return nil
	}
	return j.occurs[t.Occur].stages[t.Step]
}

// reportedStage returns the stage of a task of which an executor reports a run or its end. It
// returns nil if the task is unknown or its occurrence has finished.
func (s *State) reportedStage(now time.Time, t model.Task) *stage {
	j := s.jobWith(t)
	if j == nil {
		return nil
	}
	o := j.beginReported(t.Occur, now)
	if o == nil {
		return nil
	}
	return o.stages[t.Step]
}

// jobWith returns the job that has a task with the step and the index of t, or nil.
func (s *State) jobWith(t model.Task) *job {
	j := s.jobs[t.Job]
	if j == nil || t.Step < 0 || t.Step >= len(j.spec.Steps) {
		return nil
	}
	if t.Index < 0 || t.Index >= j.spec.Steps[t.Step].Count {
		return nil
	}
	return j
}

// markRunning moves a queued job to the running phase.
func (s *State) markRunning(j *job) {
	if j.phase == model.Queued {
		j.phase = model.Running
		s.markDirty(j)
	}
}
