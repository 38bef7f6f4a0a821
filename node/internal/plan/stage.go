package plan

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// stage is one step of one occurrence of a job.
type stage struct {
	occur        *occurrence
	spec         *model.Step
	index        int
	tasks        []task
	unfinished   int             // number of tasks that aren't done
	waiting      int             // number of tasks that are neither done nor have a run
	readySince   time.Time       // when it was first found ready to start
	lastLogged   time.Time       // when its wait was last returned by LongWaits
	failedOn     map[string]bool // executors on which a run of it has failed
	slowOn       map[string]bool // executors on which a run of it was far behind the others
	totalRunTime time.Duration   // of timedRuns
	timedRuns    int             // completed runs that learnSlowdown took into account
	lastBlocked  time.Time       // when tasks were last found unable to start; zero if all have started
	blockCause   blockCause      // why they couldn't
	advice       advice
	path         time.Duration // what remainingPath returns, 0 before its first call
	ordered      bool          // waitOrder has it
}

func newStage(o *occurrence, index int) *stage {
	spec := &o.job.spec.Steps[index]
	return &stage{occur: o, spec: spec, index: index, tasks: make([]task, spec.Count), unfinished: spec.Count, waiting: spec.Count}
}

// id returns the stage's identifier.
func (st *stage) id() model.StepID {
	return model.StepID{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index}
}

// taskID returns the identifier of task i.
func (st *stage) taskID(i int) model.Task {
	return model.Task{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index, Index: i}
}

// noteSlow notes that a run of the stage is far behind the others on an executor.
func (st *stage) noteSlow(e *executor) {
	if st.slowOn == nil {
		st.slowOn = make(map[string]bool)
	}
	st.slowOn[e.info.ID] = true
}

// finishTask marks task i as done. It returns false if the task was done already.
func (st *stage) finishTask(i int) bool {
	t := &st.tasks[i]
	if t.done {
		return false
	}
	t.done = true
	st.occur.job.failures -= len(t.failedRuns)
	st.unfinished--
	if t.run == nil {
		st.waiting--
	}
	if st.unfinished == 0 {
		st.occur.addStages()
	}
	return true
}

// addFailure records a failed run of task i and reports whether it was new.
func (st *stage) addFailure(i, number int) bool {
	t := &st.tasks[i]
	if slices.Contains(t.failedRuns, number) {
		return false
	}
	t.failedRuns = append(t.failedRuns, number)
	t.lastNumber = max(t.lastNumber, number)
	if !t.done {
		st.occur.job.failures++
	}
	return true
}

// attach makes r the current run of task i.
func (st *stage) attach(i int, r *run) {
	t := &st.tasks[i]
	if t.run == nil && !t.done {
		st.waiting--
	}
	t.run = r
	t.lastNumber = max(t.lastNumber, r.number)
}

// detach removes r from task i if it is the current run.
func (st *stage) detach(i int, r *run) {
	t := &st.tasks[i]
	if t.run != r {
		return
	}
	t.run = nil
	if !t.done {
		st.waiting++
		st.occur.job.order.add(st)
	}
}

// nextNumber returns the number for the next run of task i, or of all tasks of a
// gang, which is above base.
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

// checkpoint returns the checkpoint from which the next run of task i resumes, empty
// for none. All members of a gang must resume from the same one, which may come from
// any of them.
func (st *stage) checkpoint(i int) string {
	if !st.spec.Gang {
		return st.tasks[i].checkpoint
	}
	return st.tasks[0].checkpoint
}

// saveCheckpoint records the latest checkpoint of task i, known at now; empty leaves it
// unchanged.
func (st *stage) saveCheckpoint(i int, checkpoint string, now time.Time) {
	if st.spec.Gang {
		i = 0
	}
	if t := &st.tasks[i]; checkpoint != "" && checkpoint != t.checkpoint {
		t.checkpoint, t.keepHistory().savedAt = checkpoint, now
	}
}

// savedAt returns when the checkpoint of task i was first known, the zero time for none.
func (st *stage) savedAt(i int) time.Time {
	if st.spec.Gang {
		i = 0
	}
	return st.tasks[i].savedAt()
}
