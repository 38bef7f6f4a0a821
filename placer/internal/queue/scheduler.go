package queue

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Scheduler decides where tasks run; *sched.Scheduler implements it.
type Scheduler interface {
	Join(e sched.Endpoint)
	Leave(name string)
	DropTo(name, nextOwner string)
	Report(name string, used wire.Needs)
	Adopt(endpoint string, t sched.Task)
	Submit(item sched.Item) error
	Cancel(id string) bool
	Decide() []sched.Decision
	Started(id string, task int)
	Unsent(id string, task int)
	Ended(id string, task int, ok bool)
	Expire() []sched.Item
	Waiting() int
	Backlog() int
}
