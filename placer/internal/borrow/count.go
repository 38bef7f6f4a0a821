package borrow

import "github.com/balsamford/balsamford/placer/internal/limit"

// Count is the sched.Limit of a placer. What passes to the placer itself, when
// an endpoint is opened again under a new epoch, is counted again at once and
// so doesn't stay taken.
type Count struct {
	*limit.Keeper
	self string
}

// NewCount returns a Count for the placer that holds parts as self.
func NewCount(k *limit.Keeper, self string) *Count { return &Count{Keeper: k, self: self} }

// Pass implements sched.Limit.
func (c *Count) Pass(team string, tasks int64, heir string) {
	if heir == c.self {
		c.Give(team, tasks)
		return
	}
	c.Keeper.Pass(team, tasks, heir)
}
