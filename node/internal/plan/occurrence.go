package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// maxOpenTasks is the number of a job's unfinished tasks from which no further
	// occurrence of it begins. Otherwise a job that is due many times would fill the memory
	// of its owner, its record and each decision.
	maxOpenTasks = 500
	// dueTolerance is by how much an occurrence may run before it is due by this host's
	// clock: an owner with another clock began it.
	dueTolerance = time.Minute
)

// occurrence is one execution of a job's steps.
type occurrence struct {
	job    *job
	number int
	stages []*stage
}

func newOccurrence(j *job, k int) *occurrence {
	o := &occurrence{job: j, number: k, stages: make([]*stage, len(j.spec.Steps))}
	for i := range o.stages {
		o.stages[i] = newStage(o, i)
	}
	return o
}

// origin returns the time from which the latency objective counts.
func (o *occurrence) origin() time.Time {
	if o.job.spec.Times > 0 {
		return o.job.spec.Due(o.number)
	}
	return o.job.spec.Sent
}

// done reports whether all tasks are done.
func (o *occurrence) done() bool {
	for _, st := range o.stages {
		if st.unfinished > 0 {
			return false
		}
	}
	return true
}

// ready reports whether all steps that st depends on are done.
func (o *occurrence) ready(st *stage) bool {
	for _, a := range st.spec.After {
		if o.stages[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// openTasks returns the number of unfinished tasks. Those that last don't count once they run.
func (o *occurrence) openTasks() int {
	n := 0
	for _, st := range o.stages {
		if st.spec.Lasting {
			n += st.waiting
		} else {
			n += st.unfinished
		}
	}
	return n
}

// beginDue begins the occurrences of the job that are due, in order, as long as it has few open
// tasks and a record of recordSize can hold another occurrence.
func (j *job) beginDue(now time.Time, recordSize int) {
	if j.next >= j.spec.Occurrences() {
		return
	}
	open, most := 0, j.spec.MaxOccurrences(recordSize)
	for _, o := range j.occurs {
		open += o.openTasks()
	}
	for {
		j.skipBegun()
		full := open >= maxOpenTasks || len(j.occurs) >= most
		if full || j.next >= j.spec.Occurrences() || j.spec.Due(j.next).After(now) {
			return
		}
		open += j.begin(j.next).openTasks()
	}
}

// recordedOccurrences returns an upper bound of what the occurrences without runs and failures
// take in the job's record, in bytes.
func (j *job) recordedOccurrences() int {
	return len(j.occurs)*j.occurSize + len(j.ahead)*model.FinishedSize
}

// skipBegun advances next past the occurrences that have begun.
func (j *job) skipBegun() {
	for j.occurs[j.next] != nil || j.ahead[j.next] {
		delete(j.ahead, j.next)
		j.next++
	}
}

// begin begins occurrence k, which must not have begun.
func (j *job) begin(k int) *occurrence {
	o := j.coming
	if o == nil || o.number != k {
		o = newOccurrence(j, k)
	}
	j.coming, j.occurs[k] = nil, o
	if j.spec.Times == 0 {
		j.single = o
	}
	o.addStages()
	return o
}

// beginReported returns occurrence k, of which an executor has or had a run. An earlier owner
// may have begun it and not have recorded that. It returns nil if the occurrence has finished,
// doesn't exist, or isn't due for long.
func (j *job) beginReported(k int, now time.Time) *occurrence {
	if o := j.occurs[k]; o != nil {
		return o
	}
	if k < j.next || k >= j.spec.Occurrences() || j.ahead[k] || j.spec.Due(k).After(now.Add(dueTolerance)) {
		return nil
	}
	return j.begin(k)
}

// isLast reports whether all other occurrences than an open one have finished.
func (j *job) isLast(o *occurrence) bool {
	j.skipBegun()
	return j.next >= j.spec.Occurrences() && len(j.occurs) == 1 && j.occurs[o.number] == o
}

// finish notes that the tasks of an open occurrence are done.
func (j *job) finish(o *occurrence) {
	delete(j.occurs, o.number)
	j.single = nil
	if o.number >= j.next {
		j.ahead[o.number] = true
	}
}

// restoreOccurrences applies the recorded progress of the job's occurrences. Records of earlier
// programs have no Next, and name all that have finished.
func (s *State) restoreOccurrences(j *job, p *model.Progress, now time.Time) {
	j.next = min(max(0, p.Next), j.spec.Occurrences())
	for k, po := range p.Occurs {
		if k < 0 || k >= j.spec.Occurrences() {
			continue
		}
		if po.Done {
			j.ahead[k] = true
			continue
		}
		o := j.begin(k)
		for i, ps := range po.Stages {
			if i >= 0 && i < len(o.stages) {
				s.restoreStage(o.stages[i], ps, now)
			}
		}
	}
	j.skipBegun()
}
