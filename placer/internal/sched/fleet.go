package sched

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Summary returns the resources that each team uses at this placer, to be sent
// to its peers. The caller sets Placer, Epoch and Seq.
func (s *Scheduler) Summary() share.Summary {
	used := make(map[string]wire.Needs)
	capacity := s.executors.addUsed(used).Add(s.workers.addUsed(used))
	summary := share.Summary{Capacity: capacity}
	for team, n := range used {
		summary.Teams = append(summary.Teams, share.NewTeamUsage(team, n))
	}
	summary.Truncate()
	return summary
}

// Merge records the summary that a peer sent.
func (s *Scheduler) Merge(summary share.Summary) { s.view.Merge(summary) }

// Forget removes the summary of a peer that has left.
func (s *Scheduler) Forget(placer string) { s.view.Forget(placer) }

// RemoteUsage returns the resources that a team uses at all peers, according to
// their latest summaries.
func (s *Scheduler) RemoteUsage(team string) wire.Needs { return s.view.Used(team) }

// addUsed adds each team's usage in the pool to used and returns the capacity
// of the pool.
func (p *pool) addUsed(used map[string]wire.Needs) (capacity wire.Needs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.order {
		if !t.used.IsZero() {
			used[t.name] = used[t.name].Add(t.used)
		}
	}
	return p.table.Capacity()
}

// refreshRemote copies the peers' usage from the view if the view has changed.
func (p *pool) refreshRemote() {
	version := p.view.Version()
	if version == p.viewVersion {
		return
	}
	p.viewVersion = version
	p.remoteCapacity = p.view.Capacity()
	for _, t := range p.order {
		t.usedRemotely, t.usedAtMerge = p.view.Used(t.name), t.used
	}
}

// dominantShare returns a team's share of the fleet in the resource of which it
// uses the largest part, as in Dominant Resource Fairness. Until the peers
// report again, their usage is assumed to change in step with this placer's, in
// proportion to capacity. Otherwise all placers would favor the same team at
// once.
func (p *pool) dominantShare(t *team) float64 {
	local := p.table.Capacity()
	used, merged, remote := t.used, t.usedAtMerge, t.usedRemotely
	s := fleetShare(used.CPU, merged.CPU, remote.CPU, local.CPU, p.remoteCapacity.CPU)
	s = max(s, fleetShare(used.Mem, merged.Mem, remote.Mem, local.Mem, p.remoteCapacity.Mem))
	s = max(s, fleetShare(used.Accel, merged.Accel, remote.Accel, local.Accel, p.remoteCapacity.Accel))
	s = max(s, fleetShare(used.Slots, merged.Slots, remote.Slots, local.Slots, p.remoteCapacity.Slots))
	return max(s, fleetShare(used.Conns, merged.Conns, remote.Conns, local.Conns, p.remoteCapacity.Conns))
}

// fleetShare returns the part of one resource that a team uses in the whole
// fleet: used now and merged at the last refresh here, remote at the peers,
// whose capacity is others; local is the capacity of this placer.
func fleetShare(used, merged, remote, local, others int64) float64 {
	if local <= 0 {
		return 0
	}
	if others <= 0 {
		return float64(used) / float64(local)
	}
	moved := float64(used-merged) * float64(others) / float64(local)
	return (float64(used) + max(float64(remote)+moved, 0)) / float64(local+others)
}
