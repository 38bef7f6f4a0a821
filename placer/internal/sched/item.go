package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Item is a request that waits, or some of its tasks.
type Item struct {
	ID       string
	Attempt  uint32 // of the first decision for each task; each later one counts up
	Team     string
	Queue    string
	Kind     wire.Kind
	Name     string
	Needs    wire.Needs // of one task
	Tasks    int        // how many; 0 is taken as 1
	Numbers  []int      // their numbers; nil is 0 to Tasks-1
	Runtime  time.Duration
	Deadline time.Time // by which it has to start; the zero time is none
	Urgent   bool
	Once     bool     // no task may be started again after it has run, so none is checkpointed
	Avoid    []string // endpoints that failed this request
}

func (i *Item) count() int {
	if i.Numbers != nil {
		return len(i.Numbers)
	}
	return max(i.Tasks, 1)
}

// together returns how many of its tasks start at once or not at all.
func (i *Item) together() int {
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
