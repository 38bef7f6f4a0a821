package sched

import (
	"container/heap"

	"github.com/balsamford/balsamford/coord/wire"
)

// adopt counts a task found running. It reports whether the endpoint is one
// of the pool's.
func (p *pool) adopt(endpoint string, t *Task) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.table.Row(endpoint)
	if row == nil {
		return false
	}
	if p.runs[taskKey{t.ID, t.Number}] != nil {
		return true
	}
	e := p.entries[t.ID]
	if e == nil {
		p.seq++
		e = &entry{item: t.item(), since: p.timer.Now().Add(-t.Age), seq: p.seq, heapIndex: -1, granted: t.Needs}
		p.entries[t.ID] = e
	}
	e.adopted = true
	e.take(t.Number)
	r := p.hold(e, t.Number, t.Attempt, row, t.Needs, p.timer.Now().Add(-t.Age))
	r.started = true
	p.limit.Adopt(t.Team, counted(1, t.Needs))
	p.close(e)
	return true
}

func (t *Task) item() Item {
	return Item{
		ID: t.ID, Attempt: t.Attempt, Team: t.Team, Queue: t.Queue, Kind: t.Kind,
		Name: t.Name, Needs: t.Needs, Tasks: 1, Urgent: t.Urgent, Once: !t.Repeatable,
	}
}

// cancel drops what waits of a request. It reports whether the request is
// known and whether all of it waited.
func (p *pool) cancel(id string) (found, unstarted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil {
		return false, false
	}
	unstarted = len(e.runs) == 0
	e.cancelled = true
	e.pending = nil
	p.close(e)
	return true, unstarted
}

func (p *pool) started(id string, number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	if !r.started {
		r.started, r.start = true, p.timer.Now()
	}
	return true
}

// unsent undoes a decision.
func (p *pool) unsent(id string, number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	e := r.entry
	p.release(r)
	p.limit.Give(e.item.Team, counted(1, r.needs))
	if e.cancelled || e.gang() && e.adopted {
		p.close(e)
		return true
	}
	e.pending = append(e.pending, pending{number, r.attempt + 1})
	if e.gang() {
		e.broken = true
		e.pending = append(e.pending, e.ended...)
		e.ended = nil
		p.reunite(e)
		return true
	}
	p.enqueue(e)
	return true
}

// reunite lets a gang wait again once none of its members runs.
func (p *pool) reunite(e *entry) {
	if e.broken && len(e.runs) == 0 && len(e.pending) > 0 {
		e.broken = false
		p.enqueue(e)
	}
}

func (p *pool) measured(id string, number int, used wire.Needs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	if !r.entry.adopted {
		p.learner.Used(r.entry.item.Team, r.entry.item.Name, r.entry.item.Needs, used)
	}
	return true
}

func (p *pool) ended(id string, number int, ok bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	e := r.entry
	if !r.saving {
		p.judge(r, ok)
	}
	if ok && r.started && !r.saving && !e.adopted {
		p.learner.Ran(e.item.Team, e.item.Name, e.item.Runtime, p.timer.Now().Sub(r.start))
	}
	if ok && e.item.Kind == wire.Quick && !e.adopted {
		p.paces.note(r.row, p.timer.Now().Sub(r.placed))
	}
	p.release(r)
	p.limit.Give(e.item.Team, counted(1, r.needs))
	again := pending{number, r.attempt + 1}
	switch {
	case e.cancelled || e.adopted:
	case e.broken:
		e.pending = append(e.pending, again)
	case e.gang():
		e.ended = append(e.ended, again)
	}
	p.reunite(e)
	p.close(e)
	return true
}

// expire drops entries whose deadline has passed and returns what waited.
func (p *pool) expire(items []Item) []Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for len(p.deadlines) > 0 && !p.deadlines[0].item.Deadline.After(now) {
		e := heap.Pop(&p.deadlines).(*entry)
		items = append(items, e.left())
		e.pending = nil
		p.close(e)
	}
	return items
}

// free returns the room on open endpoints.
func (p *pool) free() wire.Needs {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum wire.Needs
	for _, r := range p.table.Rows() {
		if r.Open() {
			sum = sum.Add(r.Free().Max(wire.Needs{}))
		}
	}
	return sum
}
