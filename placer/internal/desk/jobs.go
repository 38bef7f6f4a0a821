package desk

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// Jobs acts on the decisions for batch, service and gang requests. Its methods
// must not block.
type Jobs interface {
	// Decided brings decisions for tasks of one job, those of a gang together.
	Decided(id string, orders []Order)
	// Opened says what runs at an endpoint under a new epoch.
	Opened(t hold.Target, view *point.View)
	// Ended says that a task ended. The endpoint keeps it until it is
	// acknowledged.
	Ended(t hold.Target, task *point.Task)
	// Lapsed says that no task runs at an endpoint any more that was started
	// under the given epoch or an earlier one.
	Lapsed(t hold.Target, epoch uint64)
	// Expired says that tasks of a job can't start before its deadline.
	Expired(id string, tasks []int)
}

// Acker lets an endpoint forget an ended task; a *hold.Keeper is one.
type Acker interface {
	Ack(endpoint string, seq uint64)
}

func quick(k wire.Kind) bool { return k == wire.Quick }
