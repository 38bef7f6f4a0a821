package sched

import "github.com/balsamford/balsamford/coord/wire"

// keptPart is the part of a pool that is kept free at most, beyond the
// headroom, for a team that found no room. One task of that team may always be
// waited for.
const keptPart = 0.1

// shortage is a team that was next in a pass and found no room for a task.
type shortage struct {
	team  *team
	needs wire.Needs // of the task
}

// lack notes that an entry found no room. Teams are served by their standing,
// so the first that is noted has the least.
func (p *pool) lack(e *entry) {
	if e.item.Kind == wire.Quick || len(e.item.Avoid) > 0 {
		return
	}
	for _, s := range p.pass.shortages {
		if (s.needs.Accel > 0) == (e.granted.Accel > 0) {
			return
		}
	}
	if e.item.Kind != wire.Gang && !p.limit.Room(e.item.Team, counted(1, e.granted)) {
		return // its team's limit is used up, so nobody need yield to it
	}
	p.pass.shortages = append(p.pass.shortages, shortage{p.team(e.item.Team), e.granted})
}

// yields reports whether an entry waits so that the room that comes free bit by
// bit is left to a larger task of a team that has less. Otherwise small tasks
// would fill each gap, and a team with large ones would start nothing at a
// placer of few endpoints, whatever its share.
func (p *pool) yields(e *entry) bool {
	if p.policy.Aim == AimWait || e.item.Urgent {
		return false
	}
	t := p.team(e.item.Team)
	for _, s := range p.pass.shortages {
		if s.needs.Accel > 0 && e.granted.Accel == 0 {
			continue // accelerators are what it lacks
		}
		if t.share/t.weight > s.team.share/s.team.weight && p.tight(s.needs) {
			return true
		}
	}
	return false
}

// tight reports whether less is free than may be kept for a task.
func (p *pool) tight(needs wire.Needs) bool {
	spare, all := p.table.Spare(), p.table.Capacity()
	return p.below(spare.CPU, all.CPU, needs.CPU) || p.below(spare.Mem, all.Mem, needs.Mem)
}

func (p *pool) below(spare, all, needs int64) bool {
	kept := max(keptPart*float64(all), float64(needs))
	return float64(spare) < p.policy.Headroom*float64(all)+kept
}
