package sched

import (
	"container/heap"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
	"github.com/balsamford/balsamford/placer/internal/learn"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// pool is the state of all endpoints of one kind and of the requests for
// them.
type pool struct {
	timer   *timer.Service
	limit   Limit
	view    *share.View
	learner *learn.Learner
	lagging lagging

	mu        sync.Mutex // guards the fields below
	policy    Policy
	table     *cell.Table
	entries   map[string]*entry
	runs      map[taskKey]*run
	hosted    map[*cell.Row][]*run
	teams     map[string]*team
	order     []*team // in the order in which they were first seen
	queued    map[string]int
	deadlines deadlines
	seq       uint64
	claims    map[*cell.Row]int // urgent entries for which room is being made
	rated     time.Time         // when teams were last rated
	full      bool              // the last pass found no room for something
	health    map[*cell.Row]*health
	paces     paces
	records   map[jobName]*record
	barred    int        // endpoints in quarantine
	seen      uint64     // version of the view
	remote    wire.Needs // capacity of the peers
	pass      pass
	reserved  reservation
	oldest    *entry // gang that found no room in this pass and waited longest
}

func newPool(s *timer.Service, l Limit, v *share.View, n *learn.Learner, p Policy, g lagging) *pool {
	return &pool{
		timer:   s,
		limit:   l,
		view:    v,
		learner: n,
		lagging: g,
		policy:  p,
		table:   cell.New(),
		entries: make(map[string]*entry),
		runs:    make(map[taskKey]*run),
		hosted:  make(map[*cell.Row][]*run),
		teams:   make(map[string]*team),
		claims:  make(map[*cell.Row]int),
		health:  make(map[*cell.Row]*health),
		paces:   paces{rows: make(map[*cell.Row]*pace)},
		records: make(map[jobName]*record),
		queued:  make(map[string]int),
	}
}

func (p *pool) configure(policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	for _, t := range p.order {
		t.weight = policy.weight(t.name)
		for _, l := range t.lanes {
			l.rank = policy.Queues[l.queue].Rank
		}
		t.sortLanes()
	}
}

func (p *pool) join(e *Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Join(e.Name, e.Zone, e.Rack, e.Capacity, e.Leaving)
}

func (p *pool) leave(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Leave(name)
}

func (p *pool) report(name string, used wire.Needs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Report(name, used)
}

// drop forgets an endpoint and the tasks on it.
func (p *pool) drop(name, heir string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.table.Drop(name)
	if row == nil {
		return
	}
	for len(p.hosted[row]) > 0 {
		r := p.hosted[row][0]
		p.release(r)
		p.limit.Pass(r.entry.item.Team, counted(1, r.needs), heir)
		if r.entry.gang() {
			r.entry.pending = nil // no longer known as a whole
		}
		p.close(r.entry)
	}
	delete(p.hosted, row)
	delete(p.health, row)
	p.paces.drop(row)
	if p.reserved.rows[row] {
		p.reserved.release()
	}
	if row.Barred() {
		p.barred--
	}
}

// team returns the standing of a team, made if need be.
func (p *pool) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name, weight: p.policy.weight(name)}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	return t
}

// hold takes room for a task that was decided or adopted.
func (p *pool) hold(e *entry, number int, attempt uint32, row *cell.Row, needs wire.Needs, start time.Time) *run {
	r := &run{entry: e, number: number, attempt: attempt, row: row, needs: needs, placed: start, start: start, reports: row.Reports()}
	p.table.Adopt(row, needs)
	r.slot = len(p.hosted[row])
	p.hosted[row] = append(p.hosted[row], r)
	p.runs[e.key(number)] = r
	e.runs = append(e.runs, r)
	t := p.team(e.item.Team)
	t.used = t.used.Add(needs)
	t.running++
	return r
}

// release gives a task's room back. Its share of the limit is the caller's
// to give.
func (p *pool) release(r *run) {
	p.table.Free(r.row, r.needs, r.reports)
	hosted := p.hosted[r.row]
	last := len(hosted) - 1
	hosted[r.slot] = hosted[last]
	hosted[r.slot].slot = r.slot
	hosted[last] = nil
	p.hosted[r.row] = hosted[:last]
	delete(p.runs, r.entry.key(r.number))
	r.entry.forget(r)
	t := p.team(r.entry.item.Team)
	t.used = t.used.Sub(r.needs)
	t.running--
}

// enqueue lets an entry's pending tasks wait.
func (p *pool) enqueue(e *entry) {
	p.watch(e)
	if e.lane != nil {
		return
	}
	t := p.team(e.item.Team)
	t.lane(&p.policy, &e.item).push(e)
	t.live++
	p.queued[e.item.Queue]++
}

// watch notes the deadline of an entry that waits.
func (p *pool) watch(e *entry) {
	if !e.item.Deadline.IsZero() && e.heapIndex < 0 {
		heap.Push(&p.deadlines, e)
	}
}

// dequeue takes an entry out of its line.
func (p *pool) dequeue(e *entry) {
	if e.lane == nil {
		return
	}
	p.unclaim(e)
	e.lane.remove(e)
	p.team(e.item.Team).live--
	if p.queued[e.item.Queue]--; p.queued[e.item.Queue] == 0 {
		delete(p.queued, e.item.Queue)
	}
	if e.heapIndex >= 0 {
		heap.Remove(&p.deadlines, e.heapIndex)
	}
}

// close forgets an entry of which nothing waits or runs.
func (p *pool) close(e *entry) {
	if len(e.pending) == 0 {
		p.dequeue(e)
	}
	if len(e.pending) == 0 && len(e.runs) == 0 && p.entries[e.item.ID] == e {
		delete(p.entries, e.item.ID)
	}
}
