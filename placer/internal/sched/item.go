package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Item is a request, or some of its tasks, to be queued.
type Item struct {
	ID       string
	Attempt  uint32 // attempt number of each task's first decision; each retry adds 1
	Team     string
	Queue    string
	Kind     wire.Kind
	Name     string
	Needs    wire.Needs // resources of one task
	Tasks    int        // number of tasks; 0 means 1
	Numbers  []int      // task numbers; nil means 0 to Tasks-1
	Runtime  time.Duration
	Deadline time.Time // latest start; the zero time means no deadline
	Urgent   bool
	Once     bool     // tasks must not be restarted after they have run, so they are never checkpointed
	Avoid    []string // endpoints on which this request has failed
}

func (i *Item) count() int {
	if i.Numbers != nil {
		return len(i.Numbers)
	}
	return max(i.Tasks, 1)
}

// minConcurrent returns the number of tasks that must start together: all
// tasks of a gang, otherwise one.
func (i *Item) minConcurrent() int {
	if i.Kind == wire.Gang {
		return i.count()
	}
	return 1
}

func (i *Item) numbers() []int {
	if i.Numbers != nil {
		return append([]int(nil), i.Numbers...)
	}
	all := make([]int, i.count())
	for k := range all {
		all[k] = k
	}
	return all
}
