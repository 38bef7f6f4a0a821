package cell

import (
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// Skip says which endpoints a search passes over. A nil Skip passes over
// none.
type Skip func(*Row) bool

// accelCost is what it costs to put a task without need of accelerators on an
// endpoint that has some, in whole endpoints of room left over.
const accelCost = 4

// Pack returns the open endpoint on which needs leaves the least room over, or
// nil if it fits none. Endpoints with accelerators are left to tasks that
// need them while there are others.
func (t *Table) Pack(needs wire.Needs, avoid []string, skip Skip) *Row {
	return t.best(needs, avoid, skip, func(r *Row) float64 { return r.leftover(needs) })
}

// Loosest returns the open endpoint that has the most room, or nil if needs
// fits none.
func (t *Table) Loosest(needs wire.Needs, avoid []string, skip Skip) *Row {
	return t.best(needs, avoid, skip, func(r *Row) float64 { return -r.leftover(needs) })
}

func (t *Table) best(needs wire.Needs, avoid []string, skip Skip, cost func(*Row) float64) *Row {
	var best *Row
	var least float64
	for _, r := range t.rows {
		if !needs.Fits(r.free) || !r.Open() {
			continue
		}
		if skip != nil && skip(r) || len(avoid) > 0 && slices.Contains(avoid, r.name) {
			continue
		}
		if c := cost(r); best == nil || c < least {
			best, least = r, c
		}
	}
	return best
}

// Best returns the open endpoint that costs least, or nil if needs fits none.
func (t *Table) Best(needs wire.Needs, avoid []string, skip Skip, cost func(*Row) float64) *Row {
	return t.best(needs, avoid, skip, cost)
}

// Leftover returns the room that needs would leave over, between 0 and 2, more
// on endpoints whose accelerators it wouldn't use.
func (r *Row) Leftover(needs wire.Needs) float64 { return r.leftover(needs) }

func (r *Row) leftover(needs wire.Needs) float64 {
	cost := over(needs.CPU, r.free.CPU, r.capacity.CPU) + over(needs.Mem, r.free.Mem, r.capacity.Mem)
	cost += over(needs.Slots, r.free.Slots, r.capacity.Slots) + over(needs.Conns, r.free.Conns, r.capacity.Conns)
	if needs.Accel == 0 && r.capacity.Accel > 0 {
		cost += accelCost
	}
	return cost
}

func over(need, free, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(free-need) / float64(capacity)
}

// Copies returns how many tasks of these needs fit into room, at most most.
func Copies(needs, room wire.Needs, most int) int { return copies(needs, room, most) }
