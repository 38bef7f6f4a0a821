package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
)

// entry is one request from its Submit or the first Adopt of one of its tasks
// until none of them waits or runs.
type entry struct {
	item      Item
	pending   []pending // tasks that wait, in the order in which they start
	runs      []*run
	since     time.Time // when it was submitted
	seq       uint64    // of its Submit
	lane      *lane     // where it waits; nil if it doesn't
	heapIndex int       // in the deadlines; -1 if it isn't there
	cancelled bool
	broken    bool          // a member of the gang was not sent
	adopted   bool          // some tasks were found running; the others aren't known
	ended     []pending     // members of a gang that ended, as they would run again
	claim     *claim        // room that is being made for it
	expected  time.Duration // that each task runs
	granted   wire.Needs    // what each task is given
}

// pending is a task that waits.
type pending struct {
	number  int
	attempt uint32
}

// run is a task that holds room on an endpoint.
type run struct {
	entry   *entry
	number  int
	attempt uint32
	row     *cell.Row
	needs   wire.Needs // granted
	start   time.Time  // of the decision, or of the start once it is known
	placed  time.Time  // when it was decided
	started bool
	saving  bool   // was told to checkpoint
	reports uint64 // of its endpoint when it was granted
	slot    int    // in the runs of its endpoint
}

// taskKey names a task.
type taskKey struct {
	id     string
	number int
}

func (e *entry) key(number int) taskKey { return taskKey{e.item.ID, number} }

func (e *entry) gang() bool { return e.item.Kind == wire.Gang }

func (e *entry) forget(r *run) {
	for i, other := range e.runs {
		if other == r {
			last := len(e.runs) - 1
			e.runs[i] = e.runs[last]
			e.runs[last] = nil
			e.runs = e.runs[:last]
			return
		}
	}
}

// take removes a waiting task and reports whether it was there.
func (e *entry) take(number int) bool {
	for i, p := range e.pending {
		if p.number == number {
			e.pending = append(e.pending[:i], e.pending[i+1:]...)
			return true
		}
	}
	return false
}

// waits reports whether the task with that number waits.
func (e *entry) waits(number int) bool {
	for _, p := range e.pending {
		if p.number == number {
			return true
		}
	}
	return false
}

// left returns the item with the numbers of the tasks that wait.
func (e *entry) left() Item {
	item := e.item
	item.Numbers = make([]int, 0, len(e.pending))
	for _, p := range e.pending {
		item.Numbers = append(item.Numbers, p.number)
	}
	return item
}
