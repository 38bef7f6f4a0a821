package sched

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
)

// claimTime is how long an endpoint on which tasks were told to checkpoint is
// kept for the urgent task that needs the room.
const claimTime = 5 * time.Second

// urgentPatience is how long urgent work of a team above its share waits for
// room before tasks are checkpointed for it too. It is to start within 1.1 s,
// of which a checkpoint takes a part.
const urgentPatience = 500 * time.Millisecond

// claim is room that is being made for an urgent entry.
type claim struct {
	row   *cell.Row
	until time.Time
}

// mayPreempt reports whether an entry may have batch tasks checkpointed. With
// AimShare its team must be under its share, or the entry must have waited.
func (p *pool) mayPreempt(e *entry) bool {
	if !p.policy.Preempt || !e.item.Urgent || e.item.Kind == wire.Quick {
		return false
	}
	if e.claim != nil && p.timer.Now().Before(e.claim.until) {
		return false
	}
	t := p.team(e.item.Team)
	return p.policy.Aim == AimWait || t.share <= t.fair || p.timer.Now().Sub(e.since) > urgentPatience
}

// preempt tells batch tasks on one endpoint to checkpoint, so few and so young
// ones as make room for an entry's next task.
func (p *pool) preempt(e *entry, out []Decision) []Decision {
	p.unclaim(e)
	var best []*run
	for _, row := range p.table.Rows() {
		if !row.Open() || p.claims[row] > 0 || slices.Contains(e.item.Avoid, row.Name()) {
			continue
		}
		if victims := p.victims(row, e.granted); victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
	}
	if best == nil {
		return out
	}
	row := best[0].row
	e.claim = &claim{row: row, until: p.timer.Now().Add(claimTime)}
	p.claims[row]++
	for _, r := range best {
		r.saving = true
		out = append(out, Decision{
			ID: r.entry.item.ID, Task: r.number, Attempt: r.attempt, Endpoint: row.Name(), Needs: r.needs,
			Kind: r.entry.item.Kind, Preempt: true,
		})
	}
	return out
}

// mayStop reports whether a task may be checkpointed for urgent work.
func (r *run) mayStop() bool {
	item := &r.entry.item
	return r.started && !r.saving && item.Kind == wire.Batch && !item.Urgent && !item.Once
}

// victims returns the youngest batch tasks whose end makes room for needs on
// an endpoint, or nil.
func (p *pool) victims(row *cell.Row, needs wire.Needs) []*run {
	var list []*run
	for _, r := range p.hosted[row] {
		if r.mayStop() {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return b.start.Compare(a.start) })
	room := row.Free()
	for i, r := range list {
		if room = room.Add(r.needs); needs.Fits(room) {
			return list[:i+1]
		}
	}
	return nil
}

// unclaim ends what is kept for an entry.
func (p *pool) unclaim(e *entry) {
	if e.claim == nil {
		return
	}
	if p.claims[e.claim.row]--; p.claims[e.claim.row] == 0 {
		delete(p.claims, e.claim.row)
	}
	e.claim = nil
}
