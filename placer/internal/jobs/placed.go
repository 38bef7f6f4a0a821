package jobs

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// placed is a task that may run at an endpoint. Its ending is the one that it
// has if it is found not to run: the lease is over.
type placed struct {
	ending
	epoch   uint64 // of the endpoint's owner at the start
	phase   wire.Phase
	inDoubt bool
}

// at returns the tasks that may run at an endpoint; an empty name stands for
// all.
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
			ending: ending{n: n, attempt: row.Attempt, endpoint: row.Endpoint, state: point.Lapsed},
			epoch:  row.Epoch, phase: row.Phase, inDoubt: j.tasks[n].inDoubt,
		})
	}
	return out
}

// endingOf returns the end of a task as its endpoint has it, and the job's id.
func endingOf(endpoint string, t *point.Task) (ending, string, bool) {
	id, n, ok := desk.SplitTaskID(t.ID)
	e := ending{n: n, attempt: t.Attempt, endpoint: endpoint, state: t.State, code: t.Code, output: t.Output}
	return e, id, ok && t.State.Ended()
}

func findTask(tasks []point.Task, id string, n int, attempt uint32) *point.Task {
	name := desk.TaskID(id, n)
	for i := range tasks {
		if tasks[i].ID == name && tasks[i].Attempt == attempt {
			return &tasks[i]
		}
	}
	return nil
}
