package sched

import (
	"container/heap"

	"github.com/balsamford/balsamford/coord/wire"
)

// adopt adds a task that was found running. It reports whether the endpoint
// belongs to the pool.
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
		e = &entry{item: t.item(), submittedAt: p.timer.Now().Add(-t.Age), seq: p.seq, heapIndex: -1, granted: t.Needs}
		p.entries[t.ID] = e
	}
	e.adopted = true
	e.removePending(t.Number)
	r := p.allocate(e, t.Number, t.Attempt, row, t.Needs, p.timer.Now().Add(-t.Age))
	r.started = true
	p.limit.Adopt(t.Team, limitAmount(1, t.Needs))
	p.removeIfDone(e)
	return true
}

func (t *Task) item() Item {
	return Item{
		ID: t.ID, Attempt: t.Attempt, Team: t.Team, Queue: t.Queue, Kind: t.Kind,
		Name: t.Name, Needs: t.Needs, Tasks: 1, Urgent: t.Urgent, Once: !t.Repeatable,
	}
}

// cancel drops the waiting tasks of a request. It reports whether the request
// is known and whether none of its tasks holds room.
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
	p.removeIfDone(e)
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

// unsent undoes a decision and queues the task again.
func (p *pool) unsent(id string, number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	e := r.entry
	p.release(r)
	p.limit.Give(e.item.Team, limitAmount(1, r.needs))
	if e.cancelled || e.gang() && e.adopted {
		p.removeIfDone(e)
		return true
	}
	e.pending = append(e.pending, pending{number, r.attempt + 1})
	if e.gang() {
		e.restarting = true
		e.pending = append(e.pending, e.endedMembers...)
		e.endedMembers = nil
		p.requeueGang(e)
		return true
	}
	p.enqueue(e)
	return true
}

// requeueGang queues a restarting gang again once none of its members runs.
func (p *pool) requeueGang(e *entry) {
	if e.restarting && len(e.runs) == 0 && len(e.pending) > 0 {
		e.restarting = false
		p.enqueue(e)
	}
}

func (p *pool) recordUsage(id string, number int, used wire.Needs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.runs[taskKey{id, number}]
	if r == nil {
		return false
	}
	if !r.entry.adopted {
		p.learner.AddUsage(r.entry.item.Team, r.entry.item.Name, r.entry.item.Needs, used)
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
	if !r.checkpointing {
		p.recordOutcome(r, ok)
	}
	if ok && r.started && !r.checkpointing && !e.adopted {
		p.learner.AddRuntime(e.item.Team, e.item.Name, e.item.Runtime, p.timer.Now().Sub(r.start))
	}
	if ok && e.item.Kind == wire.Quick && !e.adopted {
		p.latencies.add(r.row, p.timer.Now().Sub(r.decidedAt))
	}
	p.release(r)
	p.limit.Give(e.item.Team, limitAmount(1, r.needs))
	again := pending{number, r.attempt + 1}
	switch {
	case e.cancelled || e.adopted:
	case e.restarting:
		e.pending = append(e.pending, again)
	case e.gang():
		e.endedMembers = append(e.endedMembers, again)
	}
	p.requeueGang(e)
	p.removeIfDone(e)
	return true
}

// expire drops the waiting tasks of entries whose deadline has passed and
// appends them to items.
func (p *pool) expire(items []Item) []Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for len(p.deadlines) > 0 && !p.deadlines[0].item.Deadline.After(now) {
		e := heap.Pop(&p.deadlines).(*entry)
		items = append(items, e.unstarted())
		e.pending = nil
		p.removeIfDone(e)
	}
	return items
}

// free returns the total free room on open endpoints.
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
