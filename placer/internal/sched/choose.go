package sched

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
)

// choose returns the endpoint for an entry's next task, or nil.
func (p *pool) choose(e *entry) *cell.Row {
	needs := e.granted
	skip := p.skip(e)
	if !e.gang() && !e.item.Urgent && !p.spared(needs) {
		return nil
	}
	switch e.item.Kind {
	case wire.Quick:
		return p.loosest(needs, e.item.Avoid, skip)
	case wire.Service:
		return p.spread(e, skip)
	default:
		return p.table.Pack(needs, e.item.Avoid, skip)
	}
}

// spared reports whether the headroom of urgent work stays if needs is
// granted.
func (p *pool) spared(needs wire.Needs) bool {
	h := p.policy.Headroom
	if h <= 0 {
		return true
	}
	spare, all := p.table.Spare().Sub(needs), p.table.Capacity()
	return float64(spare.CPU) >= h*float64(all.CPU) && float64(spare.Mem) >= h*float64(all.Mem)
}

// The cost of a replica of the same service in the same zone, rack or host.
const (
	zoneCost = 100
	rackCost = 10
	hostCost = 30
)

// spread returns the endpoint that is farthest from the service's other
// replicas.
func (p *pool) spread(e *entry, skip cell.Skip) *cell.Row {
	return p.table.Best(e.granted, e.item.Avoid, skip, func(r *cell.Row) float64 {
		cost := r.Leftover(e.granted)
		for _, other := range e.runs {
			if other.row == r {
				cost += hostCost
			}
			if other.row.Rack() == r.Rack() {
				cost += rackCost
			}
			if other.row.Zone() == r.Zone() {
				cost += zoneCost
			}
		}
		return cost
	})
}

// skip returns what keeps an entry from endpoints that are kept for others, or
// nil.
func (p *pool) skip(e *entry) cell.Skip {
	if e.item.Urgent || p.reserved.entry == nil && len(p.claims) == 0 {
		return nil
	}
	now := p.timer.Now()
	return func(r *cell.Row) bool { return p.claims[r] > 0 || p.reserved.forbids(r, e, now) }
}
