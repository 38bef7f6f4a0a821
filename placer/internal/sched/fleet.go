package sched

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Summary returns what the placer's teams use, to be sent to its peers. The
// caller sets Placer, Epoch and Seq.
func (s *Scheduler) Summary() share.Summary {
	used := make(map[string]wire.Needs)
	capacity := s.executors.sumUsed(used).Add(s.workers.sumUsed(used))
	sum := share.Summary{Capacity: capacity}
	for team, n := range used {
		sum.Teams = append(sum.Teams, share.NewUse(team, n))
	}
	sum.Bound()
	return sum
}

// Merge takes in what a peer sent.
func (s *Scheduler) Merge(sum share.Summary) { s.view.Merge(sum) }

// Forget drops what a peer sent that has left.
func (s *Scheduler) Forget(placer string) { s.view.Forget(placer) }

// Elsewhere returns what a team uses at the peers, as far as they told.
func (s *Scheduler) Elsewhere(team string) wire.Needs { return s.view.Used(team) }

func (p *pool) sumUsed(used map[string]wire.Needs) (capacity wire.Needs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.order {
		if !t.used.IsZero() {
			used[t.name] = used[t.name].Add(t.used)
		}
	}
	return p.table.Capacity()
}

// refresh reads the view of the peers, if it has changed.
func (p *pool) refresh() {
	version := p.view.Version()
	if version == p.seen {
		return
	}
	p.seen = version
	p.remote = p.view.Capacity()
	for _, t := range p.order {
		t.remote, t.merged = p.view.Used(t.name), t.used
	}
}

// dominant returns a team's largest part of any resource of the fleet. Until
// the peers say otherwise, they are taken to have changed as this placer has,
// in the proportion of their capacities; else all would serve the same team at
// once.
func (p *pool) dominant(t *team) float64 {
	local := p.table.Capacity()
	used, merged, remote := t.used, t.merged, t.remote
	s := portion(used.CPU, merged.CPU, remote.CPU, local.CPU, p.remote.CPU)
	s = max(s, portion(used.Mem, merged.Mem, remote.Mem, local.Mem, p.remote.Mem))
	s = max(s, portion(used.Accel, merged.Accel, remote.Accel, local.Accel, p.remote.Accel))
	s = max(s, portion(used.Slots, merged.Slots, remote.Slots, local.Slots, p.remote.Slots))
	return max(s, portion(used.Conns, merged.Conns, remote.Conns, local.Conns, p.remote.Conns))
}

func portion(used, merged, remote, local, others int64) float64 {
	if local <= 0 {
		return 0
	}
	if others <= 0 {
		return float64(used) / float64(local)
	}
	moved := float64(used-merged) * float64(others) / float64(local)
	return (float64(used) + max(float64(remote)+moved, 0)) / float64(local+others)
}
