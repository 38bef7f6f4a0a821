package bench

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Engine is what decides: the placer's scheduler or a baseline. Its methods
// mean what those of sched.Scheduler mean.
type Engine interface {
	Join(e sched.Endpoint)
	Report(name string, used wire.Needs)
	Submit(item sched.Item) error
	Cancel(id string) bool
	Decide() []sched.Decision
	Started(id string, task int)
	Unsent(id string, task int)
	Ended(id string, task int, ok bool)
	Expire() []sched.Item
}
