package sched

import (
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

// backfillDepth is the maximum number of entries of a subqueue that are tried
// in search of one that can start.
const backfillDepth = 32

// decide runs one scheduling pass and appends its decisions to out.
func (p *pool) decide(out []Decision) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pass.reset()
	p.endQuarantines()
	p.latencies.compare(p.timer.Now())
	p.refreshRemote()
	p.updateShares()
	if e := p.reserved.entry; e != nil && e.subqueue != nil {
		out = p.tryStart(e, out)
	}
	defer p.endPass()
	for {
		t := p.nextTeam()
		if t == nil {
			return out
		}
		before := len(out)
		if out = p.startNext(t, out); len(out) == before {
			t.exhausted = true
			continue
		}
		t.dominantShare = p.dominantShare(t)
	}
}

// endPass records whether the pass found too little room, and reserves
// endpoints for a blocked gang.
func (p *pool) endPass() {
	p.contended = len(p.pass.unplaceable) > 0
	p.reserve()
}

// startNext appends the decisions for the first task or gang of a team that
// can start, if there is one.
func (p *pool) startNext(t *team, out []Decision) []Decision {
	for _, q := range t.subqueues {
		seen := 0
		for _, e := range q.fromHead() {
			if e.subqueue != q {
				continue
			}
			if seen++; seen > backfillDepth {
				break
			}
			if p.yieldsRoom(e) {
				continue
			}
			before := len(out)
			if out = p.tryStart(e, out); len(out) > before {
				return out
			}
		}
	}
	return out
}

// tryStart appends the decision to start one task of an entry, or the
// decisions for all tasks of a gang. If the entry can't start, it may append
// decisions to preempt other tasks for it.
func (p *pool) tryStart(e *entry, out []Decision) []Decision {
	if e.gang() {
		return p.tryStartGang(e, out)
	}
	needs := e.granted
	if p.pass.isUnplaceable(needs, e.item.Urgent) && !p.mayPreempt(e) {
		p.noteShortage(e)
		return out
	}
	row := p.choose(e)
	if row == nil {
		if p.mayPreempt(e) {
			if !p.limit.Room(e.item.Team, limitAmount(1, needs)) {
				return out
			}
			return p.preempt(e, out)
		}
		if len(e.item.Avoid) == 0 {
			p.pass.addUnplaceable(needs, e.item.Urgent)
		}
		p.noteShortage(e)
		return out
	}
	p.dropClaim(e)
	if !p.limit.Take(e.item.Team, limitAmount(1, needs)) {
		return out
	}
	out = p.place(e, row, out)
	p.removeIfDone(e)
	return out
}

// tryStartGang starts all tasks of a gang or none.
func (p *pool) tryStartGang(e *entry, out []Decision) []Decision {
	before, n := len(out), limitAmount(len(e.pending), e.granted)
	if e.restarting {
		return out
	}
	if !p.limit.Take(e.item.Team, n) {
		if p.reserved.entry == e { // the gang can't start, so other work may use its endpoints
			p.reserved.release()
		}
		return out
	}
	for len(e.pending) > 0 {
		row := p.choose(e)
		if row == nil {
			p.rollBack(e, out[before:])
			p.limit.Give(e.item.Team, n)
			p.noteBlockedGang(e)
			p.noteShortage(e)
			return out[:before]
		}
		out = p.place(e, row, out)
	}
	p.removeIfDone(e)
	return out
}

// place allocates room on an endpoint for an entry's first pending task and
// appends the decision.
func (p *pool) place(e *entry, row *alloc.Row, out []Decision) []Decision {
	next := e.pending[0]
	e.pending = e.pending[1:]
	p.allocate(e, next.number, next.attempt, row, e.granted, p.timer.Now())
	return append(out, Decision{
		ID: e.item.ID, Task: next.number, Attempt: next.attempt, Endpoint: row.Name(), Needs: e.granted, Kind: e.item.Kind,
	})
}

// rollBack undoes the decisions made for a gang in this pass.
func (p *pool) rollBack(e *entry, decided []Decision) {
	for _, d := range decided {
		p.release(p.runs[e.key(d.Task)])
		e.pending = append(e.pending, pending{d.Task, d.Attempt})
	}
}
