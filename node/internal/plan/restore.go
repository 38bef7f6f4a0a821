package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const bitsPerByte = 8

// restoreStage applies the recorded progress of a stage. Its recorded runs, of which
// Spares are the unwanted ones, are in doubt until their executors have reported.
func (s *State) restoreStage(st *stage, p model.Stage, now time.Time) {
	for i := range st.tasks {
		if i/bitsPerByte < len(p.Done) && p.Done[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			st.finishTask(i)
		}
	}
	for i, numbers := range p.Failed {
		if i < 0 || i >= len(st.tasks) {
			continue
		}
		for _, n := range numbers {
			st.addFailure(i, n)
		}
	}
	for i, place := range p.Runs {
		if i < 0 || i >= len(st.tasks) || st.tasks[i].done || st.tasks[i].run != nil {
			continue
		}
		r := s.attachRun(st, i, place.Number, s.executor(place.Executor), inDoubt, now)
		r.restored, r.paceInDoubt = true, true
		r.confirmedAt = now // Once it has reported to this owner, the executor accepts no order of an earlier one.
	}
	for i, places := range p.Spares {
		if i < 0 || i >= len(st.tasks) {
			continue
		}
		for _, place := range places {
			if s.find(place.Executor, st.taskID(i), place.Number) != nil {
				continue // It would take the executor's capacity twice.
			}
			r := s.newRun(st, i, place.Number, s.executor(place.Executor), inDoubt, now)
			r.restored, r.paceInDoubt = true, true
			r.confirmedAt = now
			st.tasks[i].lastNumber = max(st.tasks[i].lastNumber, place.Number)
			s.markUnwanted(r)
		}
	}
}

// place returns the run's executor and number for the job's record.
func (r *run) place() model.Place {
	return model.Place{Executor: r.executor.info.ID, Number: r.number}
}

// Change describes a job whose recorded progress is out of date.
type Change struct {
	Job          string
	Queue        string
	Progress     *model.Progress
	Delay        Delay
	Sent         time.Time     // when the job was accepted
	Objective    time.Duration // latency objective, from Sent; 0 for none
	OverQuota    bool          // the job exceeds its team's submission quota
	PhaseChanged bool          // the phase differs from the one recorded last
	Version      int           // of the progress
	Size         int           // upper bound of the size of the encoded Progress, in bytes
}

// Rows returns the number of rows that record the change.
func (c *Change) Rows() int {
	if c.PhaseChanged {
		return 2 // The progress and the phase.
	}
	return 1
}

// Changes returns up to n jobs whose progress has to be recorded, first those that have
// ended, since clients wait for their ends. The caller passes each to Recorded once it is
// stored.
func (s *State) Changes(n int) []Change {
	out := make([]Change, 0, min(n, len(s.dirty)))
	out = s.appendChanges(out, n, true)
	return s.appendChanges(out, n, false)
}

// appendChanges appends to out, up to a length of n, the changes of jobs that have or haven't
// ended.
func (s *State) appendChanges(out []Change, n int, ended bool) []Change {
	for id, j := range s.dirty {
		if len(out) == n {
			break
		}
		if j.phase.Final() != ended {
			continue
		}
		out = append(out, Change{Job: id, Queue: j.spec.Queue, Progress: j.progress(), Delay: j.delay, Sent: j.spec.Sent, Objective: j.objective(), OverQuota: j.overQuota, PhaseChanged: j.phase != j.recorded, Version: j.version, Size: s.recordBound(j)})
	}
	return out
}

// recordBound returns an upper bound of the size of a job's record, in bytes.
func (s *State) recordBound(j *job) int {
	if j.phase.Final() {
		return model.RecordSize(0, 0, 0, 0)
	}
	return model.RecordSize(j.recordedOccurrences(), j.failures, j.runCount, s.longestID)
}

// Recorded notes that c is stored. The job stays out of date if its progress has
// changed since.
func (s *State) Recorded(c Change) {
	j := s.dirty[c.Job]
	if j == nil {
		return
	}
	j.recorded = c.Progress.Phase
	if j.version != c.Version {
		return
	}
	delete(s.dirty, c.Job)
}

// forget removes a job whose end is recorded and that has no runs left.
func (s *State) forget(id string) {
	delete(s.jobs, id)
	s.ended[id] = true
	s.forgotten = append(s.forgotten, id)
}

// TakeForgotten removes and returns up to n of the forgotten jobs. Only their outcome
// can still be queried, so that their submissions may be deleted.
func (s *State) TakeForgotten(n int) []string {
	n = min(n, len(s.forgotten))
	out := s.forgotten[:n:n]
	s.forgotten = s.forgotten[n:]
	return out
}

// RowsDeleted notes that the rows of an ended job are deleted.
func (s *State) RowsDeleted(id string) { delete(s.ended, id) }

// hasRuns reports whether runs of the job may exist on executors.
func (s *State) hasRuns(j *job) bool { return j.runCount > 0 }

// progress returns the progress to record for the job. For a job that has ended this
// is only its phase.
func (j *job) progress() *model.Progress {
	p := &model.Progress{Phase: j.phase}
	if j.phase.Final() {
		return p
	}
	recurs := j.spec.Times > 0
	if recurs {
		p.Next = j.next
	}
	p.Occurs = make(map[int]model.Occur, len(j.occurs)+len(j.ahead))
	for k := range j.ahead {
		p.Occurs[k] = model.Occur{Done: true}
	}
	for k, o := range j.occurs {
		po := model.Occur{}
		for i, st := range o.stages {
			if ps, nonEmpty := st.progress(); nonEmpty {
				if po.Stages == nil {
					po.Stages = make(map[int]model.Stage)
				}
				po.Stages[i] = ps
			}
		}
		if po.Stages != nil || recurs && k < j.next {
			p.Occurs[k] = po
		}
	}
	return p
}

// progress returns the progress to record for the stage, and whether there is any.
func (st *stage) progress() (model.Stage, bool) {
	var p model.Stage
	nonEmpty := st.unfinished < len(st.tasks)
	if nonEmpty {
		p.Done = make([]byte, (len(st.tasks)+bitsPerByte-1)/bitsPerByte)
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done {
			p.Done[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
		if t.run != nil {
			if p.Runs == nil {
				p.Runs = make(map[int]model.Place)
			}
			p.Runs[i] = t.run.place()
			nonEmpty = true
		}
		for _, r := range t.unwanted {
			if p.Spares == nil {
				p.Spares = make(map[int][]model.Place)
			}
			p.Spares[i] = append(p.Spares[i], r.place())
			nonEmpty = true
		}
		if len(t.failedRuns) > 0 && !t.done {
			if p.Failed == nil {
				p.Failed = make(map[int][]int)
			}
			p.Failed[i] = t.failedRuns
			nonEmpty = true
		}
	}
	return p, nonEmpty
}
