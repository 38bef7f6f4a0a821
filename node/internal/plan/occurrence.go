package plan

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
