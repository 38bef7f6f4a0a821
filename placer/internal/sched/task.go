package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Task is a task that is found running on an endpoint at a takeover.
type Task struct {
	ID      string // of its request
	Number  int    // of the task within the request
	Attempt uint32
	Team    string
	Queue   string
	Kind    wire.Kind
	Name    string
	Needs   wire.Needs // resources granted
	Urgent  bool
	Age     time.Duration
	// Repeatable reports that the task may be restarted after it has run. If
	// that isn't known, it is false and the task isn't checkpointed.
	Repeatable bool
}
