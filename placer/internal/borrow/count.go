package borrow

import (
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

// Count is the sched.Limit of a placer. What passes to the placer itself, when
// an endpoint is opened again under a new epoch, is counted again at once and
// so doesn't stay taken.
type Count struct {
	*limit.Keeper
	self string
	lack chan struct{} // a task found no room
}

// NewCount returns a Count for the placer that holds parts as self.
func NewCount(k *limit.Keeper, self string) *Count {
	return &Count{Keeper: k, self: self, lack: make(chan struct{}, 1)}
}

// Take implements sched.Limit.
func (c *Count) Take(team string, n parts.Amount) bool {
	return c.told(c.Keeper.Take(team, n))
}

// Room implements sched.Limit.
func (c *Count) Room(team string, n parts.Amount) bool {
	return c.told(c.Keeper.Room(team, n))
}

// told returns ok, and signals if it is false.
func (c *Count) told(ok bool) bool {
	if ok {
		return true
	}
	select {
	case c.lack <- struct{}{}:
	default:
	}
	return false
}

// Lack receives when a task found no room in its team's part.
func (c *Count) Lack() <-chan struct{} { return c.lack }

// Pass implements sched.Limit.
func (c *Count) Pass(team string, n parts.Amount, heir string) {
	if heir == c.self {
		c.Give(team, n)
		return
	}
	c.Keeper.Pass(team, n, heir)
}
