package sched

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

// claimTTL is how long an endpoint stays claimed for an urgent task after tasks
// there were preempted for it.
const claimTTL = 5 * time.Second

// urgentPreemptDelay is how long urgent work of a team above its fair share
// waits for room before it may preempt other tasks too. Urgent work should
// start within 1.1 s, which includes the time for the checkpoint.
const urgentPreemptDelay = 500 * time.Millisecond

// claim keeps an endpoint for an urgent entry while preempted tasks free their
// room there.
type claim struct {
	row   *alloc.Row
	until time.Time
}

// mayPreempt reports whether batch tasks may be preempted for an entry. With
// AimShare its team must not be above its fair share, or the entry must have
// waited for urgentPreemptDelay.
func (p *pool) mayPreempt(e *entry) bool {
	if !p.policy.Preempt || !e.item.Urgent || e.item.Kind == wire.Quick {
		return false
	}
	if e.claim != nil && p.timer.Now().Before(e.claim.until) {
		return false
	}
	t := p.team(e.item.Team)
	return p.policy.Aim == AimWait || t.dominantShare <= t.fairShare || p.timer.Now().Sub(e.submittedAt) > urgentPreemptDelay
}

// preempt claims an endpoint for an entry's next task and appends decisions to
// checkpoint the batch tasks there that are in its way. It selects the endpoint
// with the fewest victims.
func (p *pool) preempt(e *entry, out []Decision) []Decision {
	p.dropClaim(e)
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
	e.claim = &claim{row: row, until: p.timer.Now().Add(claimTTL)}
	p.claims[row]++
	for _, r := range best {
		r.checkpointing = true
		out = append(out, Decision{
			ID: r.entry.item.ID, Task: r.number, Attempt: r.attempt, Endpoint: row.Name(), Needs: r.needs,
			Kind: r.entry.item.Kind, Preempt: true,
		})
	}
	return out
}

// preemptible reports whether a task may be checkpointed for urgent work.
func (r *run) preemptible() bool {
	item := &r.entry.item
	return r.started && !r.checkpointing && item.Kind == wire.Batch && !item.Urgent && !item.Once
}

// victims returns the most recently started batch tasks on an endpoint that
// must end to make room for needs, or nil if all of them are too few.
func (p *pool) victims(row *alloc.Row, needs wire.Needs) []*run {
	var list []*run
	for _, r := range p.runsByRow[row] {
		if r.preemptible() {
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

// dropClaim removes the claim of an entry, if any.
func (p *pool) dropClaim(e *entry) {
	if e.claim == nil {
		return
	}
	if p.claims[e.claim.row]--; p.claims[e.claim.row] == 0 {
		delete(p.claims, e.claim.row)
	}
	e.claim = nil
}
