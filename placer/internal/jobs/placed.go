package jobs

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// placed is a task that may run at an endpoint. Its ending is the one to record if
// the task turns out not to run: its lease has expired.
type placed struct {
	ending
	epoch   uint64 // of the endpoint's owner that sent the start
	phase   wire.Phase
	inDoubt bool
}

// tasksAt returns the live tasks at an endpoint, or all of them if endpoint is empty.
func (j *job) tasksAt(endpoint string) []placed {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []placed
	for n := range j.tasks {
		row := &j.row.Tasks[n]
		if !j.tasks[n].live || (endpoint != "" && row.Endpoint != endpoint) {
			continue
		}
		out = append(out, placed{
			ending: ending{task: n, attempt: row.Attempt, endpoint: row.Endpoint, state: point.Lapsed},
			epoch:  row.Epoch, phase: row.Phase, inDoubt: j.tasks[n].inDoubt,
		})
	}
	return out
}

// endingOf returns the end of a task as reported by its endpoint, and the job's id.
// It reports false if the task hasn't ended or its id can't be parsed.
func endingOf(endpoint string, t *point.Task) (ending, string, bool) {
	id, n, ok := queue.SplitTaskID(t.ID)
	e := ending{task: n, attempt: t.Attempt, endpoint: endpoint, state: t.State, code: t.Code, output: t.Output}
	return e, id, ok && t.State.Ended()
}

// findTask returns the task of that job, index and attempt, or nil.
func findTask(tasks []point.Task, id string, n int, attempt uint32) *point.Task {
	name := queue.TaskID(id, n)
	for i := range tasks {
		if tasks[i].ID == name && tasks[i].Attempt == attempt {
			return &tasks[i]
		}
	}
	return nil
}
