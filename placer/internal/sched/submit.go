package sched

import (
	"container/heap"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// submit queues an item, or returns a *RefusedError.
func (p *pool) submit(item Item) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.admit(&item); err != nil {
		return err
	}
	e := p.entries[item.ID]
	if e == nil {
		p.seq++
		e = &entry{item: item, submittedAt: p.timer.Now(), seq: p.seq, heapIndex: -1}
		p.entries[item.ID] = e
	}
	if e.heapIndex >= 0 {
		heap.Remove(&p.deadlines, e.heapIndex)
	}
	e.item.Deadline, e.item.Avoid, e.item.Once = item.Deadline, item.Avoid, item.Once
	e.granted, e.runtime = p.estimate(&item)
	for _, n := range item.numbers() {
		e.pending = append(e.pending, pending{n, item.Attempt})
	}
	p.enqueue(e)
	return nil
}

// admit returns a *RefusedError if an item can't be queued.
func (p *pool) admit(item *Item) error {
	refuse := func(reason, detail string) error {
		return &RefusedError{ID: item.ID, Reason: reason, Detail: detail}
	}
	if !item.Deadline.IsZero() && !item.Deadline.After(p.timer.Now()) {
		return refuse(wire.ReasonDeadline, "the deadline has passed")
	}
	if bound := p.policy.Queues[item.Queue].Bound; bound > 0 && p.queued[item.Queue] >= bound {
		return refuse(wire.ReasonBusy, "queue "+item.Queue+" holds its bound of "+strconv.Itoa(bound)+" requests")
	}
	if e := p.entries[item.ID]; e != nil {
		for _, n := range item.numbers() {
			if e.isPending(n) || p.runs[e.key(n)] != nil {
				return refuse(wire.ReasonDuplicate, "task "+strconv.Itoa(n)+" waits or runs already")
			}
		}
	}
	if name, limit, over := p.exceedsLimit(item, item.Needs); over {
		detail := "what it needs at once exceeds the limit of team " + item.Team + ": " + strconv.FormatInt(limit, 10) + " " + name
		return &RefusedError{ID: item.ID, Reason: wire.ReasonNever, Detail: detail, Team: true}
	}
	return p.checkCapacity(item, refuse)
}

// exceedsLimit reports whether the tasks of an item that must start together
// need more than their team's whole limit, and returns the resource and its
// limit.
func (p *pool) exceedsLimit(item *Item, needs wire.Needs) (name string, limit int64, over bool) {
	return p.limit.Exceeded(item.Team, limitAmount(item.minConcurrent(), needs))
}

// checkCapacity refuses an item that the endpoints of the placer couldn't run
// even if they were idle.
func (p *pool) checkCapacity(item *Item, refuse func(reason, detail string) error) error {
	if len(p.table.Rows()) == 0 {
		return refuse(wire.ReasonBusy, "this placer owns no endpoint for it")
	}
	if p.table.MaxTasks(item.Needs, 1) == 0 {
		return refuse(wire.ReasonNever, p.table.InsufficientResource(item.Needs))
	}
	if item.Kind == wire.Gang && p.table.MaxTasks(item.Needs, item.count()) < item.count() {
		return refuse(wire.ReasonNever, "gang of "+strconv.Itoa(item.count())+" tasks exceeds all endpoints together")
	}
	return nil
}

// estimate returns the resources to grant to each task of an item, and its
// expected run time. If the learned size doesn't fit the endpoints or the
// limit, it returns the declared size.
func (p *pool) estimate(item *Item) (wire.Needs, time.Duration) {
	run := item.Runtime
	if run <= 0 {
		run = defaultRuntime
	}
	if !p.policy.Learn || item.Name == "" {
		return item.Needs, run
	}
	needs := p.learner.Size(item.Team, item.Name, item.Needs)
	if most := item.minConcurrent(); p.table.MaxTasks(needs, most) < most {
		needs = item.Needs
	}
	if _, _, over := p.exceedsLimit(item, needs); over {
		needs = item.Needs
	}
	return needs, p.learner.Runtime(item.Team, item.Name, run)
}
