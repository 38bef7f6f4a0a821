package alloc

import (
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// Skip reports whether a search excludes an endpoint. A nil Skip excludes none.
type Skip func(*Row) bool

// accelCost is the cost of placing a task that needs no accelerators on an
// endpoint that has some, as part of Leftover. It outweighs the room left over
// of all other resources, so that such endpoints are used last.
const accelCost = 4

// BestFit returns the open endpoint with the least room left over after placing
// needs, or nil if needs fits none. Tasks that need no accelerators are placed
// on an endpoint with accelerators only if no other has room.
func (t *Table) BestFit(needs wire.Needs, avoid []string, skip Skip) *Row {
	return t.leastCost(needs, avoid, skip, func(r *Row) float64 { return r.leftover(needs) })
}

// WorstFit returns the open endpoint with the most room left over after placing
// needs, or nil if needs fits none.
func (t *Table) WorstFit(needs wire.Needs, avoid []string, skip Skip) *Row {
	return t.leastCost(needs, avoid, skip, func(r *Row) float64 { return -r.leftover(needs) })
}

func (t *Table) leastCost(needs wire.Needs, avoid []string, skip Skip, cost func(*Row) float64) *Row {
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

// LeastCost returns the open endpoint for which cost is lowest, or nil if needs
// fits none.
func (t *Table) LeastCost(needs wire.Needs, avoid []string, skip Skip, cost func(*Row) float64) *Row {
	return t.leastCost(needs, avoid, skip, cost)
}

// Leftover returns the room left over after placing needs: the sum over all
// resources except accelerators of the free fraction of capacity, from 0 to 1
// each. accelCost is added if the endpoint has accelerators that needs wouldn't
// use.
func (r *Row) Leftover(needs wire.Needs) float64 { return r.leftover(needs) }

func (r *Row) leftover(needs wire.Needs) float64 {
	cost := leftoverFraction(needs.CPU, r.free.CPU, r.capacity.CPU) + leftoverFraction(needs.Mem, r.free.Mem, r.capacity.Mem)
	cost += leftoverFraction(needs.Slots, r.free.Slots, r.capacity.Slots) + leftoverFraction(needs.Conns, r.free.Conns, r.capacity.Conns)
	if needs.Accel == 0 && r.capacity.Accel > 0 {
		cost += accelCost
	}
	return cost
}

// leftoverFraction is the free fraction of one resource after placing need; 0 if
// the endpoint has none of it.
func leftoverFraction(need, free, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(free-need) / float64(capacity)
}

// Copies returns how many tasks with these needs fit into room, but at most
// most.
func Copies(needs, room wire.Needs, most int) int { return copies(needs, room, most) }
