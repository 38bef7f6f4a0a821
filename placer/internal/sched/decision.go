package sched

import "github.com/balsamford/balsamford/coord/wire"

// Decision is an instruction to start one task on an endpoint, where its room
// has already been allocated. The decisions for all tasks of a gang are
// returned by the same call of Decide. If Preempt is true, the task is already
// running there and must be checkpointed instead; its room becomes free when
// Ended is called for it.
type Decision struct {
	ID       string
	Task     int
	Attempt  uint32
	Endpoint string
	Needs    wire.Needs // resources granted
	Kind     wire.Kind
	Preempt  bool
}
