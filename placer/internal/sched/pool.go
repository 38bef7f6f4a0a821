package sched

import (
	"container/heap"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
	"github.com/balsamford/balsamford/placer/internal/learn"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// pool schedules the requests for all endpoints of one kind.
type pool struct {
	timer         *timer.Service
	limit         Limit
	view          *share.View
	learner       *learn.Learner
	waitBonusRule waitBonusRule

	mu                sync.Mutex // guards the fields below
	policy            Policy
	table             *alloc.Table
	entries           map[string]*entry
	runs              map[taskKey]*run
	runsByRow         map[*alloc.Row][]*run // in no particular order
	teams             map[string]*team
	order             []*team        // in the order in which they were first seen
	queued            map[string]int // queued entries by queue
	deadlines         deadlines
	seq               uint64             // sequence number of the latest entry
	claims            map[*alloc.Row]int // number of claims on each endpoint
	sharesUpdatedAt   time.Time          // time of the last updateShares
	contended         bool               // in the last pass, some task found no room
	health            map[*alloc.Row]*health
	latencies         latencies
	outcomes          map[jobKey]*outcomes
	quarantined       int        // endpoints in quarantine
	viewVersion       uint64     // version of the view at the last refresh
	remoteCapacity    wire.Needs // total capacity that the peers report
	pass              pass
	reserved          reservation
	oldestBlockedGang *entry // of the gangs that found no room in this pass
}

func newPool(s *timer.Service, l Limit, v *share.View, n *learn.Learner, p Policy, b waitBonusRule) *pool {
	return &pool{
		timer:         s,
		limit:         l,
		view:          v,
		learner:       n,
		waitBonusRule: b,
		policy:        p,
		table:         alloc.New(),
		entries:       make(map[string]*entry),
		runs:          make(map[taskKey]*run),
		runsByRow:     make(map[*alloc.Row][]*run),
		teams:         make(map[string]*team),
		claims:        make(map[*alloc.Row]int),
		health:        make(map[*alloc.Row]*health),
		latencies:     latencies{rows: make(map[*alloc.Row]*latency)},
		outcomes:      make(map[jobKey]*outcomes),
		queued:        make(map[string]int),
	}
}

func (p *pool) configure(policy Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.policy = policy
	for _, t := range p.order {
		t.weight = policy.weight(t.name)
		for _, q := range t.subqueues {
			q.rank = policy.Queues[q.queue].Rank
		}
		t.sortSubqueues()
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

// drop removes an endpoint and the tasks on it, whose part of the limits passes
// to newOwner.
func (p *pool) drop(name, newOwner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.table.Drop(name)
	if row == nil {
		return
	}
	for len(p.runsByRow[row]) > 0 {
		r := p.runsByRow[row][0]
		p.release(r)
		p.limit.Transfer(r.entry.item.Team, limitAmount(1, r.needs), newOwner)
		if r.entry.gang() {
			r.entry.pending = nil // the gang can't be restarted as a whole any more
		}
		p.removeIfDone(r.entry)
	}
	delete(p.runsByRow, row)
	delete(p.health, row)
	p.latencies.drop(row)
	if p.reserved.rows[row] {
		p.reserved.release()
	}
	if row.Quarantined() {
		p.quarantined--
	}
}

// team returns the state of a team, creating it if necessary.
func (p *pool) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{name: name, weight: p.policy.weight(name)}
		p.teams[name] = t
		p.order = append(p.order, t)
	}
	return t
}

// allocate takes room on an endpoint for a task that was decided or adopted.
func (p *pool) allocate(e *entry, number int, attempt uint32, row *alloc.Row, needs wire.Needs, start time.Time) *run {
	r := &run{entry: e, number: number, attempt: attempt, row: row, needs: needs, decidedAt: start, start: start, reports: row.Reports()}
	p.table.Allocate(row, needs)
	r.rowIndex = len(p.runsByRow[row])
	p.runsByRow[row] = append(p.runsByRow[row], r)
	p.runs[e.key(number)] = r
	e.runs = append(e.runs, r)
	t := p.team(e.item.Team)
	t.used = t.used.Add(needs)
	t.running++
	return r
}

// release frees the room of a task. The caller returns the task's part of the
// limit.
func (p *pool) release(r *run) {
	p.table.Free(r.row, r.needs, r.reports)
	runs := p.runsByRow[r.row]
	last := len(runs) - 1
	runs[r.rowIndex] = runs[last]
	runs[r.rowIndex].rowIndex = r.rowIndex
	runs[last] = nil
	p.runsByRow[r.row] = runs[:last]
	delete(p.runs, r.entry.key(r.number))
	r.entry.removeRun(r)
	t := p.team(r.entry.item.Team)
	t.used = t.used.Sub(r.needs)
	t.running--
}

// enqueue queues an entry that has pending tasks, unless it is queued already.
func (p *pool) enqueue(e *entry) {
	p.trackDeadline(e)
	if e.subqueue != nil {
		return
	}
	t := p.team(e.item.Team)
	t.subqueue(&p.policy, &e.item).push(e)
	t.waiting++
	p.queued[e.item.Queue]++
}

// trackDeadline adds an entry to the deadlines if it has one.
func (p *pool) trackDeadline(e *entry) {
	if !e.item.Deadline.IsZero() && e.heapIndex < 0 {
		heap.Push(&p.deadlines, e)
	}
}

// dequeue removes an entry from its subqueue and from the deadlines.
func (p *pool) dequeue(e *entry) {
	if e.subqueue == nil {
		return
	}
	p.dropClaim(e)
	e.subqueue.remove(e)
	p.team(e.item.Team).waiting--
	if p.queued[e.item.Queue]--; p.queued[e.item.Queue] == 0 {
		delete(p.queued, e.item.Queue)
	}
	if e.heapIndex >= 0 {
		heap.Remove(&p.deadlines, e.heapIndex)
	}
}

// removeIfDone dequeues an entry without pending tasks, and removes it if it
// has no running tasks either.
func (p *pool) removeIfDone(e *entry) {
	if len(e.pending) == 0 {
		p.dequeue(e)
	}
	if len(e.pending) == 0 && len(e.runs) == 0 && p.entries[e.item.ID] == e {
		delete(p.entries, e.item.ID)
	}
}
