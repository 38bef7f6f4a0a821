package sched

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Task is a running task that is found on an endpoint at a takeover.
type Task struct {
	ID      string // of its request
	Number  int    // of the task within the request
	Attempt uint32
	Team    string
	Queue   string
	Kind    wire.Kind
	Name    string
	Needs   wire.Needs // granted
	Urgent  bool
	Age     time.Duration
	// Repeatable says that it may be started again after it has run. If that
	// isn't known, it isn't checkpointed.
	Repeatable bool
}
