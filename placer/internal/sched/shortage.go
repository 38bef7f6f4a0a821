package sched

import "github.com/balsamford/balsamford/coord/wire"

// maxKeptFraction is the maximum fraction of a pool, beyond the headroom, that
// is kept free for a team that found no room. The room of one task of that team
// may be kept free even if it is more.
const maxKeptFraction = 0.1

// shortage records that a team was next in a pass and found no room for a task.
type shortage struct {
	team  *team
	needs wire.Needs // of the task
}

// noteShortage records that an entry found no room. Teams are served in the
// order of their effective shares, so the first recorded has the smallest.
func (p *pool) noteShortage(e *entry) {
	if e.item.Kind == wire.Quick || len(e.item.Avoid) > 0 {
		return
	}
	for _, s := range p.pass.shortages {
		if (s.needs.Accel > 0) == (e.granted.Accel > 0) {
			return
		}
	}
	if e.item.Kind != wire.Gang && !p.limit.Room(e.item.Team, limitAmount(1, e.granted)) {
		return // its team's limit is used up, so other teams needn't yield to it
	}
	p.pass.shortages = append(p.pass.shortages, shortage{p.team(e.item.Team), e.granted})
}

// yieldsRoom reports whether an entry has to wait so that free room can
// accumulate for a larger task of a team with a smaller share. Otherwise small
// tasks would fill every gap, and a team with large tasks would be starved at a
// placer with few endpoints, whatever its share.
func (p *pool) yieldsRoom(e *entry) bool {
	if p.policy.Aim == AimWait || e.item.Urgent {
		return false
	}
	t := p.team(e.item.Team)
	for _, s := range p.pass.shortages {
		if s.needs.Accel > 0 && e.granted.Accel == 0 {
			continue // the entry doesn't compete for accelerators
		}
		if t.dominantShare/t.weight > s.team.dominantShare/s.team.weight && p.mustKeepFree(s.needs) {
			return true
		}
	}
	return false
}

// mustKeepFree reports whether less is free than may be kept free for a task
// with these needs.
func (p *pool) mustKeepFree(needs wire.Needs) bool {
	spare, all := p.table.Spare(), p.table.Capacity()
	return p.belowKept(spare.CPU, all.CPU, needs.CPU) || p.belowKept(spare.Mem, all.Mem, needs.Mem)
}

func (p *pool) belowKept(spare, all, needs int64) bool {
	kept := max(maxKeptFraction*float64(all), float64(needs))
	return float64(spare) < p.policy.Headroom*float64(all)+kept
}
