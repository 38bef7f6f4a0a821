package queue

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// Jobs receives the decisions and task events of batch, service and gang
// requests. Its methods must not block.
type Jobs interface {
	// Decided delivers decisions for tasks of one job; those for a gang come
	// in one call.
	Decided(id string, orders []Order)
	// Opened reports the tasks of an endpoint that was opened under a new epoch.
	Opened(t hold.Target, view *point.View)
	// Ended reports that a task has ended. The endpoint keeps the task until
	// it is acknowledged.
	Ended(t hold.Target, task *point.Task)
	// Lapsed reports that every task that was started at the endpoint under
	// the given epoch or an earlier one has ended.
	Lapsed(t hold.Target, epoch uint64)
	// Expired reports tasks of a job that were still queued at its deadline.
	Expired(id string, tasks []int)
}

// Acker acknowledges ended tasks, so that their endpoint may delete them;
// *hold.Keeper implements it.
type Acker interface {
	Ack(endpoint string, seq uint64)
}

func isQuick(k wire.Kind) bool { return k == wire.Quick }
