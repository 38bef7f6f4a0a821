package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// runEnded handles the end of a run that an executor reported.
func (s *State) runEnded(now time.Time, e *executor, end model.End) {
	st := s.reportedStage(now, end.Task)
	if r := e.runs[runKey{task: end.Task, number: end.Number}]; r != nil {
		if end.Outcome == model.RunDone {
			s.learnSlowdown(r.stage, e, r.startedAt, now)
			s.noteQueueRunTime(r, now.Sub(r.startedAt))
		}
		r.stage.saveCheckpoint(r.index, end.Checkpoint, now)
		if cause, wasted := wasteOf(r, end.Outcome); wasted {
			s.noteWasted(r, cause, r.workedUntil(end.Outcome, now))
		}
		s.turnover.note(r.reserved.CPU)
		s.removeRun(r)
	} else if st != nil {
		t := &st.tasks[end.Task.Index]
		t.lastNumber = max(t.lastNumber, end.Number)
		st.saveCheckpoint(end.Task.Index, end.Checkpoint, now)
	}
	if st == nil || st.occur.job.phase.Final() {
		return
	}
	switch end.Outcome {
	case model.RunDone:
		e.noteSuccess(now)
		e.progressedAt = now
		if !st.spec.Lasting {
			s.taskDone(st, end.Task.Index, now)
		}
	case model.RunFailed:
		e.noteFailure(st.occur.job.spec.ID, now)
		if st.failedOn == nil {
			st.failedOn = make(map[string]bool)
		}
		st.failedOn[e.info.ID] = true
		s.taskFailed(st, end, now)
	case model.RunStopped, model.RunLapsed, model.RunBroken, model.RunAlone:
	}
	if st.spec.Gang && end.Outcome != model.RunDone {
		s.stopRuns(st, now)
	}
}

// taskDone handles the success of a run. In a gang the success of one member
// completes all tasks.
func (s *State) taskDone(st *stage, index int, now time.Time) {
	o, before := st.occur, st.unfinished
	if st.spec.Gang {
		for i := range st.tasks {
			st.finishTask(i)
		}
	} else {
		if !st.finishTask(index) {
			return
		}
		if r := st.tasks[index].run; r != nil {
			s.stopRun(r, now) // The task needs no other run.
		}
		s.stopSpares(st, index, now)
	}
	s.noteDone(st, before-st.unfinished)
	s.markRunning(o.job)
	s.markDirty(o.job)
	if !o.done() {
		return
	}
	if o.job.isLast(o) {
		s.judgeEnd(o.job, now)
		s.endJob(o.job, model.Done, now)
		return
	}
	o.job.finish(o)
}

// taskFailed counts a failed run, which may make the job fail. Lasting tasks are
// restarted without limit.
func (s *State) taskFailed(st *stage, end model.End, now time.Time) {
	if st.spec.Lasting {
		return
	}
	i := end.Task.Index
	if st.spec.Gang {
		i = 0
	}
	t := &st.tasks[i]
	if t.done || !st.addFailure(i, end.Number) {
		return
	}
	j := st.occur.job
	s.markRunning(j)
	s.markDirty(j)
	if len(t.failedRuns) >= j.maxAttempts() {
		s.endJob(j, model.Failed, now)
	}
}
