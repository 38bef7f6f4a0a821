package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// stage is one step of an occurrence.
type stage struct {
	occur   *occur
	spec    *model.Step
	index   int
	tasks   []task
	left    int             // tasks that aren't done
	waiting int             // tasks that are neither done nor have a run
	since   time.Time       // when it was first seen ready
	logged  time.Time       // when its wait was last told
	faulty  map[string]bool // executors on which a run of it has failed
	took    time.Duration   // of the tasks that were done
	ended   int             // how many these are
	tried   time.Time       // when it was last found that tasks can't start; zero if all could
	cause   cause           // what kept them then
	advice  advice
}

func newStage(o *occur, index int) *stage {
	spec := &o.job.spec.Steps[index]
	return &stage{occur: o, spec: spec, index: index, tasks: make([]task, spec.Count), left: spec.Count, waiting: spec.Count}
}

// id returns the stage's name.
func (st *stage) id() model.StepID {
	return model.StepID{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index}
}

// name returns the name of one of its tasks.
func (st *stage) name(i int) model.Task {
	return model.Task{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index, Index: i}
}

// finish marks task i as done and reports whether it wasn't before.
func (st *stage) finish(i int) bool {
	t := &st.tasks[i]
	if t.done {
		return false
	}
	t.done = true
	st.left--
	if t.run == nil {
		st.waiting--
	}
	return true
}

// attach gives task i its run.
func (st *stage) attach(i int, r *run) {
	t := &st.tasks[i]
	if t.run == nil && !t.done {
		st.waiting--
	}
	t.run = r
	t.last = max(t.last, r.number)
}

// detach takes the run of task i away.
func (st *stage) detach(i int, r *run) {
	t := &st.tasks[i]
	if t.run != r {
		return
	}
	t.run = nil
	if !t.done {
		st.waiting++
	}
}

// number returns the number of the next run of task i, or of all tasks of a gang.
func (st *stage) number(i, base int) int {
	last := base
	if !st.spec.Gang {
		return max(last, st.tasks[i].last) + 1
	}
	for k := range st.tasks {
		last = max(last, st.tasks[k].last)
	}
	return last + 1
}

// checkpoint returns where the next run of task i resumes. Any member's is good
// for its gang, and all members must carry the same.
func (st *stage) checkpoint(i int) string {
	if !st.spec.Gang {
		return st.tasks[i].checkpoint
	}
	return st.tasks[0].checkpoint
}

// save notes the progress of task i.
func (st *stage) save(i int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if st.spec.Gang {
		i = 0
	}
	st.tasks[i].checkpoint = checkpoint
}
