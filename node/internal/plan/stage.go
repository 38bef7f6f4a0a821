package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// stage is one step of an occurrence.
type stage struct {
	occur        *occurrence
	spec         *model.Step
	index        int
	tasks        []task
	unfinished   int             // tasks that aren't done
	waiting      int             // tasks that are neither done nor have a run
	readySince   time.Time       // when it was first seen ready
	lastLogged   time.Time       // when its wait was last told
	failedOn     map[string]bool // executors on which a run of it has failed
	totalRunTime time.Duration   // of the tasks that were done
	timedRuns    int             // how many these are
	blockedSince time.Time       // when it was last found that tasks can't start; zero if all could
	blockCause   blockCause      // what kept them then
	advice       advice
}

func newStage(o *occurrence, index int) *stage {
	spec := &o.job.spec.Steps[index]
	return &stage{occur: o, spec: spec, index: index, tasks: make([]task, spec.Count), unfinished: spec.Count, waiting: spec.Count}
}

// id returns the stage's name.
func (st *stage) id() model.StepID {
	return model.StepID{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index}
}

// taskID returns the name of one of its tasks.
func (st *stage) taskID(i int) model.Task {
	return model.Task{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index, Index: i}
}

// finishTask marks task i as done and reports whether it wasn't before.
func (st *stage) finishTask(i int) bool {
	t := &st.tasks[i]
	if t.done {
		return false
	}
	t.done = true
	st.unfinished--
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
	t.lastNumber = max(t.lastNumber, r.number)
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

// nextNumber returns the number of the next run of task i, or of all tasks of a gang.
func (st *stage) nextNumber(i, base int) int {
	last := base
	if !st.spec.Gang {
		return max(last, st.tasks[i].lastNumber) + 1
	}
	for k := range st.tasks {
		last = max(last, st.tasks[k].lastNumber)
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

// saveCheckpoint notes the progress of task i.
func (st *stage) saveCheckpoint(i int, checkpoint string) {
	if checkpoint == "" {
		return
	}
	if st.spec.Gang {
		i = 0
	}
	st.tasks[i].checkpoint = checkpoint
}
