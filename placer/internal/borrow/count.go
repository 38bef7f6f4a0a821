package borrow

import (
	"sync"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

// Count is the sched.Limit of a placer. What passes to the placer itself, when
// an endpoint is opened again under a new epoch, is counted again at once and
// so doesn't stay taken.
type Count struct {
	*limit.Keeper
	self string
	lack chan struct{} // a team lacks room that didn't before

	mu    sync.Mutex // guards lacks
	lacks map[string]bool
}

// NewCount returns a Count for the placer that holds parts as self.
func NewCount(k *limit.Keeper, self string) *Count {
	return &Count{Keeper: k, self: self, lack: make(chan struct{}, 1), lacks: make(map[string]bool)}
}

// Take implements sched.Limit.
func (c *Count) Take(team string, n parts.Amount) bool {
	return c.told(team, c.Keeper.Take(team, n))
}

// Room implements sched.Limit.
func (c *Count) Room(team string, n parts.Amount) bool {
	return c.told(team, c.Keeper.Room(team, n))
}

// told returns ok, and signals if it is false and the team has just begun to
// lack room.
func (c *Count) told(team string, ok bool) bool {
	if ok || c.note(team) {
		return ok
	}
	select {
	case c.lack <- struct{}{}:
	default:
	}
	return false
}

// note notes that a team lacks room and reports whether that was known.
func (c *Count) note(team string) (known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known = c.lacks[team]
	c.lacks[team] = true
	return known
}

// Known makes wants the teams that are known to lack room.
func (c *Count) Known(wants map[string]parts.Amount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.lacks)
	for team := range wants {
		c.lacks[team] = true
	}
}

// Lack receives when a team lacks room that wasn't known to.
func (c *Count) Lack() <-chan struct{} { return c.lack }

// Pass implements sched.Limit.
func (c *Count) Pass(team string, n parts.Amount, heir string) {
	if heir == c.self {
		c.Give(team, n)
		return
	}
	c.Keeper.Pass(team, n, heir)
}
