package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

// entry is the state of one request, from its Submit or the first Adopt of one
// of its tasks until no task waits or runs.
type entry struct {
	item         Item
	pending      []pending // waiting tasks, in start order
	runs         []*run    // tasks that hold room
	submittedAt  time.Time
	seq          uint64    // submission order within the pool
	subqueue     *subqueue // nil if the entry isn't queued
	heapIndex    int       // index in pool.deadlines; -1 if absent
	cancelled    bool
	restarting   bool          // a gang member wasn't started; requeue the gang once no member runs
	adopted      bool          // some tasks were found running; the others are unknown
	endedMembers []pending     // gang members that ended, with the attempt they would run as next
	claim        *claim        // set while room is being freed for the entry
	runtime      time.Duration // estimated for each task
	granted      wire.Needs    // resources granted to each task
}

// pending is a waiting task.
type pending struct {
	number  int
	attempt uint32
}

// run is a task that holds room on an endpoint, whether or not its start is
// confirmed.
type run struct {
	entry         *entry
	number        int
	attempt       uint32
	row           *alloc.Row
	needs         wire.Needs // resources granted
	start         time.Time  // time of the start if it is confirmed, else of the decision
	decidedAt     time.Time
	started       bool   // the start is confirmed
	checkpointing bool   // was preempted and is being checkpointed
	reports       uint64 // row.Reports() when the room was allocated
	rowIndex      int    // index in pool.runsByRow[row]
}

// taskKey identifies a task by its request and its number within it.
type taskKey struct {
	id     string
	number int
}

func (e *entry) key(number int) taskKey { return taskKey{e.item.ID, number} }

func (e *entry) gang() bool { return e.item.Kind == wire.Gang }

func (e *entry) removeRun(r *run) {
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

// removePending removes a waiting task and reports whether it was there.
func (e *entry) removePending(number int) bool {
	for i, p := range e.pending {
		if p.number == number {
			e.pending = append(e.pending[:i], e.pending[i+1:]...)
			return true
		}
	}
	return false
}

// isPending reports whether the task with that number waits.
func (e *entry) isPending(number int) bool {
	for _, p := range e.pending {
		if p.number == number {
			return true
		}
	}
	return false
}

// unstarted returns the item with Numbers set to the waiting tasks.
func (e *entry) unstarted() Item {
	item := e.item
	item.Numbers = make([]int, 0, len(e.pending))
	for _, p := range e.pending {
		item.Numbers = append(item.Numbers, p.number)
	}
	return item
}
