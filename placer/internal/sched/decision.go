package sched

import "github.com/balsamford/balsamford/coord/wire"

// Decision says that one task is to start on an endpoint, whose room is
// reserved. The decisions of a gang come together in one Decide. If Preempt
// is true, the task named is running there and is to be checkpointed instead;
// its room is free once Ended is called for it.
type Decision struct {
	ID       string
	Task     int
	Attempt  uint32
	Endpoint string
	Needs    wire.Needs // granted
	Kind     wire.Kind
	Preempt  bool
}
