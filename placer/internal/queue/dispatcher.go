package queue

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

// maxDecideInterval limits the time between two scheduling passes while
// requests wait, because limits change and deadlines pass without an event.
const maxDecideInterval = 50 * time.Millisecond

// Dispatcher runs scheduling passes and delivers the decisions to the requests and
// jobs that wait for them. Attach, and SetNames if it is used, must be called first;
// all other methods may be called concurrently.
type Dispatcher struct {
	sched     Scheduler
	jobs      Jobs
	acks      Acker
	self      string
	nextOwner func(t hold.Target) string
	wake      chan struct{}

	mu           sync.Mutex // guards the fields below; held during a scheduling pass
	epochs       map[string]uint64
	tickets      map[string]*Ticket
	placements   map[taskKey]placement
	endpoints    map[string]sched.Endpoint
	endpointGone bool                       // an endpoint was lost or began to leave since the last rejectStranded
	endStates    map[attemptKey]point.State // end states of quick tasks whose tickets are open
}

// New returns a Dispatcher without endpoints. Attach must be called first.
func New(s Scheduler) *Dispatcher {
	return &Dispatcher{
		sched: s, nextOwner: func(hold.Target) string { return "" }, wake: make(chan struct{}, 1), epochs: make(map[string]uint64),
		tickets: make(map[string]*Ticket), placements: make(map[taskKey]placement), endpoints: make(map[string]sched.Endpoint),
		endStates: make(map[attemptKey]point.State),
	}
}

// Attach sets the receiver of decisions for jobs and the Acker for ended tasks.
func (d *Dispatcher) Attach(j Jobs, a Acker) { d.jobs, d.acks = j, a }

// SetNames sets the name under which this placer's usage counts against limits, and
// a function that returns the corresponding name of an endpoint's next owner, or
// an empty string if it isn't known.
func (d *Dispatcher) SetNames(self string, nextOwner func(t hold.Target) string) {
	d.self, d.nextOwner = self, nextOwner
}

// Run runs a scheduling pass after every change until ctx ends. It always
// returns nil.
func (d *Dispatcher) Run(ctx context.Context, s *timer.Service) error {
	t := s.Every(maxDecideInterval, d.wakeIfWaiting)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
			d.Schedule()
		}
	}
}

// wakeIfWaiting triggers a scheduling pass if any request waits.
func (d *Dispatcher) wakeIfWaiting() {
	if d.sched.Waiting() > 0 {
		d.Kick()
	}
}

// Kick triggers a scheduling pass by Run. It doesn't block.
func (d *Dispatcher) Kick() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Schedule runs one scheduling pass and delivers its decisions.
func (d *Dispatcher) Schedule() {
	d.rejectStranded()
	orders, expired := d.decide()
	for i := 0; i < len(orders); {
		n := 1
		for i+n < len(orders) && orders[i+n].ID == orders[i].ID && !isQuick(orders[i].Kind) {
			n++
		}
		d.dispatch(orders[i : i+n])
		i += n
	}
	for i := range expired {
		d.expire(&expired[i])
	}
}

// decide runs one scheduling pass. It returns the decisions, with the epochs of
// their endpoints, and the requests whose deadline passed in the queue.
func (d *Dispatcher) decide() ([]Order, []sched.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	expired := d.sched.Expire()
	decisions := d.sched.Decide()
	orders := make([]Order, len(decisions))
	for i, decision := range decisions {
		orders[i] = Order{Decision: decision, Epoch: d.epochs[decision.Endpoint]}
		if !decision.Preempt {
			d.placements[taskKey{decision.ID, decision.Task}] = placement{decision.Endpoint, decision.Attempt}
		}
	}
	return orders, expired
}

// dispatch delivers the decisions for one job, or one decision for a quick request.
// If the quick request no longer waits, its decision is undone.
func (d *Dispatcher) dispatch(orders []Order) {
	if !isQuick(orders[0].Kind) {
		d.jobs.Decided(orders[0].ID, orders)
		return
	}
	if !d.deliver(orders[0]) {
		d.sched.Cancel(orders[0].ID)
		d.Unsent(orders[0])
	}
}

// deliver sends a decision to its ticket and reports whether there is one. A
// ticket has at most one decision at a time, so the send doesn't block.
func (d *Dispatcher) deliver(o Order) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tickets[o.ID]
	if t != nil {
		t.next <- o
	}
	return t != nil
}

func (d *Dispatcher) expire(item *sched.Item) {
	if !isQuick(item.Kind) {
		d.jobs.Expired(item.ID, item.Numbers)
		return
	}
	d.mu.Lock()
	t := d.tickets[item.ID]
	delete(d.tickets, item.ID)
	d.mu.Unlock()
	if t != nil {
		close(t.expired)
	}
}

// Queue queues a quick request. The error is a *sched.RefusedError.
func (d *Dispatcher) Queue(item sched.Item) (*Ticket, error) {
	t := &Ticket{id: item.ID, needs: item.Needs, dispatcher: d, next: make(chan Order, 1), expired: make(chan struct{}), moved: make(chan struct{})}
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
func (d *Dispatcher) Submit(item sched.Item) error {
	err := d.sched.Submit(item)
	d.Kick()
	return err
}

// Cancel removes the waiting tasks of a request from the queue and reports
// whether all of its tasks were waiting.
func (d *Dispatcher) Cancel(id string) bool { return d.sched.Cancel(id) }

func (d *Dispatcher) closeTicket(t *Ticket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.endStates {
		if k.id == t.id {
			delete(d.endStates, k)
		}
	}
	if d.tickets[t.id] == t {
		delete(d.tickets, t.id)
		d.sched.Cancel(t.id)
	}
}

// Backlog returns the number of requests that wait for workers.
func (d *Dispatcher) Backlog() int { return d.sched.Backlog() }

// Fits reports whether the owned workers could run the given number of tasks
// at the same time if they were otherwise idle.
func (d *Dispatcher) Fits(needs wire.Needs, tasks int) bool {
	return d.Room(needs, tasks) >= tasks
}

// Room returns how many of the given number of tasks the owned workers could
// run at the same time if they were otherwise idle.
func (d *Dispatcher) Room(needs wire.Needs, tasks int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	room := 0
	for _, e := range d.endpoints {
		if e.Kind != point.Worker || e.Leaving {
			continue
		}
		for used := needs; used.Fits(e.Capacity) && room < tasks; used = used.Add(needs) {
			room++
		}
	}
	return room
}
