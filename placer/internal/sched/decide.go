package sched

import (
	"github.com/balsamford/balsamford/placer/internal/cell"
)

// depth is how many entries of a line are looked at behind one that doesn't
// fit.
const depth = 32

// decide appends the decisions of one pass.
func (p *pool) decide(out []Decision) []Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pass.reset()
	p.readmit()
	p.paces.compare(p.timer.Now())
	p.refresh()
	p.rate()
	if e := p.reserved.entry; e != nil && e.lane != nil {
		out = p.try(e, out)
	}
	defer p.finish()
	for {
		t := p.next()
		if t == nil {
			return out
		}
		before := len(out)
		if out = p.serve(t, out); len(out) == before {
			t.done = true
			continue
		}
		t.share = p.dominant(t)
	}
}

// finish draws the conclusions of a pass.
func (p *pool) finish() {
	p.full = len(p.pass.misses) > 0
	p.reserve()
}

// serve starts one task or gang of a team, if any can.
func (p *pool) serve(t *team, out []Decision) []Decision {
	for _, l := range t.lanes {
		seen := 0
		for _, e := range l.line() {
			if e.lane != l {
				continue
			}
			if seen++; seen > depth {
				break
			}
			if p.yields(e) {
				continue
			}
			before := len(out)
			if out = p.try(e, out); len(out) > before {
				return out
			}
		}
	}
	return out
}

// try starts one task of an entry, or all of a gang.
func (p *pool) try(e *entry, out []Decision) []Decision {
	if e.gang() {
		return p.tryGang(e, out)
	}
	needs := e.granted
	if p.pass.missed(needs, e.item.Urgent) && !p.mayPreempt(e) {
		p.lack(e)
		return out
	}
	row := p.choose(e)
	if row == nil {
		if p.mayPreempt(e) {
			if !p.limit.Room(e.item.Team, counted(1, needs)) {
				return out
			}
			return p.preempt(e, out)
		}
		if len(e.item.Avoid) == 0 {
			p.pass.miss(needs, e.item.Urgent)
		}
		p.lack(e)
		return out
	}
	p.unclaim(e)
	if !p.limit.Take(e.item.Team, counted(1, needs)) {
		return out
	}
	out = p.place(e, row, out)
	p.close(e)
	return out
}

// tryGang starts all tasks of a gang or none.
func (p *pool) tryGang(e *entry, out []Decision) []Decision {
	before, n := len(out), counted(len(e.pending), e.granted)
	if e.broken {
		return out
	}
	if !p.limit.Take(e.item.Team, n) {
		if p.reserved.entry == e { // others may use what the gang can't
			p.reserved.release()
		}
		return out
	}
	for len(e.pending) > 0 {
		row := p.choose(e)
		if row == nil {
			p.undo(e, out[before:])
			p.limit.Give(e.item.Team, n)
			p.want(e)
			p.lack(e)
			return out[:before]
		}
		out = p.place(e, row, out)
	}
	p.close(e)
	return out
}

// place gives an entry's first waiting task room on an endpoint.
func (p *pool) place(e *entry, row *cell.Row, out []Decision) []Decision {
	next := e.pending[0]
	e.pending = e.pending[1:]
	p.hold(e, next.number, next.attempt, row, e.granted, p.timer.Now())
	return append(out, Decision{
		ID: e.item.ID, Task: next.number, Attempt: next.attempt, Endpoint: row.Name(), Needs: e.granted, Kind: e.item.Kind,
	})
}

// undo takes the decisions of a gang back.
func (p *pool) undo(e *entry, decided []Decision) {
	for _, d := range decided {
		p.release(p.runs[e.key(d.Task)])
		e.pending = append(e.pending, pending{d.Task, d.Attempt})
	}
}
