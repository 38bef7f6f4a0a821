package desk

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// turnPeriod bounds the time between two turns, since limits change and
// deadlines pass without notice.
const turnPeriod = 50 * time.Millisecond

// Desk carries decisions out to those that wait for them. All methods may be
// called concurrently.
type Desk struct {
	sched Scheduler
	jobs  Jobs
	acks  Acker
	self  string
	heir  func(t hold.Target) string
	kick  chan struct{}

	mu      sync.Mutex // guards the fields below; held while deciding
	epochs  map[string]uint64
	tickets map[string]*Ticket
	placed  map[key]spot
	known   map[string]sched.Endpoint
	lost    bool                    // an endpoint has gone since the last look for requests that it strands
	fates   map[spotKey]point.State // ends of quick tasks whose tickets are open
}

// New returns a Desk without endpoints. Attach has to be called before
// anything else.
func New(s Scheduler) *Desk {
	return &Desk{
		sched: s, heir: func(hold.Target) string { return "" }, kick: make(chan struct{}, 1), epochs: make(map[string]uint64),
		tickets: make(map[string]*Ticket), placed: make(map[key]spot), known: make(map[string]sched.Endpoint),
		fates: make(map[spotKey]point.State),
	}
}

// Attach sets who drives jobs and who acknowledges ended tasks.
func (d *Desk) Attach(j Jobs, a Acker) { d.jobs, d.acks = j, a }

// Name sets under which name the placer counts against limits, and what names
// the one that an endpoint goes to, if that is known.
func (d *Desk) Name(self string, heir func(t hold.Target) string) { d.self, d.heir = self, heir }

// Run decides whenever something has changed, until ctx ends. It always
// returns nil.
func (d *Desk) Run(ctx context.Context, s *timer.Service) error {
	t := s.Every(turnPeriod, d.look)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.kick:
			d.Turn()
		}
	}
}

// look asks for a turn if anything waits.
func (d *Desk) look() {
	if d.sched.Waiting() > 0 {
		d.Kick()
	}
}

// Kick asks for a turn.
func (d *Desk) Kick() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// Turn decides once and hands the decisions out.
func (d *Desk) Turn() {
	d.strand()
	orders, late := d.decide()
	for i := 0; i < len(orders); {
		n := 1
		for i+n < len(orders) && orders[i+n].ID == orders[i].ID && !quick(orders[i].Kind) {
			n++
		}
		d.handOut(orders[i : i+n])
		i += n
	}
	for i := range late {
		d.expire(&late[i])
	}
}

func (d *Desk) decide() ([]Order, []sched.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := d.sched.Expire()
	decisions := d.sched.Decide()
	orders := make([]Order, len(decisions))
	for i, c := range decisions {
		orders[i] = Order{Decision: c, Epoch: d.epochs[c.Endpoint]}
		if !c.Preempt {
			d.placed[key{c.ID, c.Task}] = spot{c.Endpoint, c.Attempt}
		}
	}
	return orders, late
}

func (d *Desk) handOut(orders []Order) {
	if !quick(orders[0].Kind) {
		d.jobs.Decided(orders[0].ID, orders)
		return
	}
	if !d.hand(orders[0]) {
		d.sched.Cancel(orders[0].ID)
		d.Unsent(orders[0])
	}
}

// hand gives a decision to the ticket that waits for it, if there is one. A
// ticket has one decision at a time, so the send doesn't block.
func (d *Desk) hand(o Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tickets[o.ID]
	if t != nil {
		t.next <- o
	}
	return t != nil
}

func (d *Desk) expire(item *sched.Item) {
	if !quick(item.Kind) {
		d.jobs.Expired(item.ID, item.Numbers)
		return
	}
	d.mu.Lock()
	t := d.tickets[item.ID]
	delete(d.tickets, item.ID)
	d.mu.Unlock()
	if t != nil {
		close(t.over)
	}
}

// Queue queues a quick request. The error is a *sched.RefusedError.
func (d *Desk) Queue(item sched.Item) (*Ticket, error) {
	t := &Ticket{id: item.ID, needs: item.Needs, desk: d, next: make(chan Order, 1), over: make(chan struct{}), moved: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.sched.Submit(item); err != nil {
		return nil, err
	}
	d.tickets[item.ID] = t
	d.Kick()
	return t, nil
}

// Submit queues tasks of a job. The error is a *sched.RefusedError.
func (d *Desk) Submit(item sched.Item) error {
	err := d.sched.Submit(item)
	d.Kick()
	return err
}

// Cancel drops what waits of a request and reports whether all of it did.
func (d *Desk) Cancel(id string) bool { return d.sched.Cancel(id) }

func (d *Desk) drop(t *Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.fates {
		if k.id == t.id {
			delete(d.fates, k)
		}
	}
	if d.tickets[t.id] == t {
		delete(d.tickets, t.id)
		d.sched.Cancel(t.id)
	}
}

// Backlog returns how many requests wait for workers.
func (d *Desk) Backlog() int { return d.sched.Backlog() }

// Fits reports whether the workers that are owned could run so many tasks
// together if nothing else ran.
func (d *Desk) Fits(needs wire.Needs, tasks int) bool {
	return d.Room(needs, tasks) >= tasks
}

// Room returns how many of so many tasks the workers that are owned could run
// together if nothing else ran.
func (d *Desk) Room(needs wire.Needs, tasks int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	room := 0
	for _, e := range d.known {
		if e.Kind != point.Worker || e.Leaving {
			continue
		}
		for used := needs; used.Fits(e.Capacity) && room < tasks; used = used.Add(needs) {
			room++
		}
	}
	return room
}
