package bench

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Engine makes scheduling decisions: it is the placer's scheduler or a baseline.
// Its methods have the semantics of those of sched.Scheduler.
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
