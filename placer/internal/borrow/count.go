package borrow

import (
	"sync"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

// Limiter is the sched.Limit of a placer. It signals when a team begins to lack
// room. When the placer reopens its own endpoint under a new epoch, the usage
// that passes to the placer itself is released, because the placer counts it
// again when it adopts the tasks.
type Limiter struct {
	*limit.Keeper
	self       string
	lackSignal chan struct{} // signals that another team began to lack room

	mu      sync.Mutex      // guards lacking
	lacking map[string]bool // teams that are known to lack room
}

// NewLimiter returns a Count for the placer that holds parts under the name self.
func NewLimiter(k *limit.Keeper, self string) *Limiter {
	return &Limiter{Keeper: k, self: self, lackSignal: make(chan struct{}, 1), lacking: make(map[string]bool)}
}

// Take implements sched.Limit.
func (c *Limiter) Take(team string, n parts.Amount) bool {
	return c.signalLack(team, c.Keeper.Take(team, n))
}

// Room implements sched.Limit.
func (c *Limiter) Room(team string, n parts.Amount) bool {
	return c.signalLack(team, c.Keeper.Room(team, n))
}

// signalLack returns ok. If ok is false and the team wasn't known to lack room,
// it sends a signal to lackSignal.
func (c *Limiter) signalLack(team string, ok bool) bool {
	if ok || c.markLacking(team) {
		return ok
	}
	select {
	case c.lackSignal <- struct{}{}:
	default:
	}
	return false
}

// markLacking records that a team lacks room and reports whether that was
// known.
func (c *Limiter) markLacking(team string) (known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known = c.lacking[team]
	c.lacking[team] = true
	return known
}

// SetLacking replaces the set of teams that are known to lack room by those in
// wants.
func (c *Limiter) SetLacking(wants map[string]parts.Amount) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.lacking)
	for team := range wants {
		c.lacking[team] = true
	}
}

// LackSignal returns a channel that receives when a team that wasn't known to lack
// room begins to lack it.
func (c *Limiter) LackSignal() <-chan struct{} { return c.lackSignal }

// Pass implements sched.Limit.
func (c *Limiter) Pass(team string, n parts.Amount, newOwner string) {
	if newOwner == c.self {
		c.Give(team, n)
		return
	}
	c.Keeper.Pass(team, n, newOwner)
}
