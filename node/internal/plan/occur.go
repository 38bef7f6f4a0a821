package plan

// occur is one occurrence of a job's steps.
type occur struct {
	job    *job
	number int
	stages []*stage
}

func newOccur(j *job, k int) *occur {
	o := &occur{job: j, number: k, stages: make([]*stage, len(j.spec.Steps))}
	for i := range o.stages {
		o.stages[i] = newStage(o, i)
	}
	return o
}

// done reports whether all tasks have ended as done.
func (o *occur) done() bool {
	for _, st := range o.stages {
		if st.left > 0 {
			return false
		}
	}
	return true
}

// ready reports whether the steps before stage st are done.
func (o *occur) ready(st *stage) bool {
	for _, a := range st.spec.After {
		if o.stages[a].left > 0 {
			return false
		}
	}
	return true
}
