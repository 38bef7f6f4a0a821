package sched

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

// choose returns the endpoint for an entry's next task, or nil if none is
// suitable.
func (p *pool) choose(e *entry) *alloc.Row {
	needs := e.granted
	skip := p.skipReserved(e)
	if !e.gang() && !e.item.Urgent && !p.keepsHeadroom(needs) {
		return nil
	}
	switch e.item.Kind {
	case wire.Quick:
		return p.worstFit(needs, e.item.Avoid, skip)
	case wire.Service:
		return p.spread(e, skip)
	default:
		return p.table.BestFit(needs, e.item.Avoid, skip)
	}
}

// keepsHeadroom reports whether the headroom reserved for urgent work remains
// free after granting needs.
func (p *pool) keepsHeadroom(needs wire.Needs) bool {
	h := p.policy.Headroom
	if h <= 0 {
		return true
	}
	spare, all := p.table.Spare().Sub(needs), p.table.Capacity()
	return float64(spare.CPU) >= h*float64(all.CPU) && float64(spare.Mem) >= h*float64(all.Mem)
}

// Placement cost added for each replica of the same service that already runs
// in the same zone, in the same rack or on the same endpoint.
const (
	zoneCost     = 100
	rackCost     = 10
	endpointCost = 30
)

// spread returns the endpoint with the lowest cost, so that the replicas of a
// service are spread over zones, racks and endpoints.
func (p *pool) spread(e *entry, skip alloc.Skip) *alloc.Row {
	return p.table.LeastCost(e.granted, e.item.Avoid, skip, func(r *alloc.Row) float64 {
		cost := r.Leftover(e.granted)
		for _, other := range e.runs {
			if other.row == r {
				cost += endpointCost
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

// skipReserved returns a filter that excludes endpoints that are claimed by an
// urgent entry or reserved for another gang. It returns nil if the entry may
// use all endpoints.
func (p *pool) skipReserved(e *entry) alloc.Skip {
	if e.item.Urgent || p.reserved.entry == nil && len(p.claims) == 0 {
		return nil
	}
	now := p.timer.Now()
	return func(r *alloc.Row) bool { return p.claims[r] > 0 || p.reserved.forbids(r, e, now) }
}
