package route

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// pollPeriod is the time between two polls.
	pollPeriod = 500 * time.Millisecond
	// pollTime bounds one question for the load.
	pollTime = time.Second
	// freshTime is how long a load counts as known beyond the time in which all
	// placers are asked.
	freshTime = 3 * time.Second
	// failedTime is how long a placer that couldn't be reached is passed over.
	failedTime = 2 * time.Second
	// retryTime is after how long one of another zone that couldn't be reached
	// is asked for its load again.
	retryTime = 10 * time.Second
	// inflightCost is what each request under way adds to a placer's wait, in
	// milliseconds.
	inflightCost = 1
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Table keeps the loads of all placers. All methods may be called
// concurrently.
type Table struct {
	clock  *timer.Service
	caller Caller
	zone   string
	hops   metrics.Counter // requests offered to another zone
	stale  metrics.Counter // loads of an older process
	rounds *rounds
	probes chan Placer // to be asked out of turn

	mu    sync.Mutex // guards views
	views map[string]*view
}

// New returns a Table of placers for a process in zone.
func New(clock *timer.Service, caller Caller, zone string, placers []Placer, r metrics.Registry) *Table {
	t := &Table{
		clock: clock, caller: caller, zone: zone, rounds: newRounds(zone, placers), views: make(map[string]*view),
		probes: make(chan Placer, len(placers)),
		hops:   metrics.GetOrRegisterCounter("entry.route.zones", r),
		stale:  metrics.GetOrRegisterCounter("entry.route.stale", r),
	}
	for _, p := range placers {
		t.views[p.Name] = &view{Placer: p}
	}
	return t
}

// Run asks the placers for their loads until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { t.probe(ctx, &g); return nil })
	g.Go(func() error { t.poll(ctx); return nil })
	return g.Wait()
}

// probe asks those that may be silent.
func (t *Table) probe(ctx context.Context, g *errgroup.Group) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-t.probes:
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, pollTime)
				defer cancel()
				t.ask(ctx, p)
				return nil
			})
		}
	}
}

func (t *Table) poll(ctx context.Context) {
	tick := make(chan struct{}, 1)
	sub := t.clock.Every(pollPeriod, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer sub.Stop()
	for {
		t.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick:
		}
	}
}

// Poll asks the next placers and waits for the answers. Several polls go
// through all that are watched.
func (t *Table) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	var g errgroup.Group
	for _, p := range t.rounds.next(t.failing) {
		g.Go(func() error { t.ask(ctx, p); return nil })
	}
	_ = g.Wait()
}

// Placers returns all configured placers.
func (t *Table) Placers() []Placer {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Placer, 0, len(t.views))
	for _, v := range t.views {
		out = append(out, v.Placer)
	}
	return out
}

// failing reports whether a placer couldn't be reached a short while ago.
func (t *Table) failing(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[name]
	return v != nil && !v.failed.IsZero() && t.clock.Now().Sub(v.failed) < retryTime
}

// fresh reports whether a load is young enough to count.
func (t *Table) fresh(v *view, now time.Time) bool {
	limit := freshTime + t.rounds.nearPeriod()
	if v.Zone != t.zone {
		limit = freshTime + t.rounds.farPeriod()
	}
	return v.known && now.Sub(v.at) <= limit
}

func (t *Table) ask(ctx context.Context, p Placer) {
	at := t.clock.Now()
	var load wire.Load
	if err := t.caller.Call(ctx, p.Link, wire.VerbLoad, wire.Empty{}, &load); err != nil {
		if ctx.Err() == nil {
			t.Failed(p.Name)
		}
		return
	}
	t.Set(p.Name, load, at)
}

// Set notes a load that was asked for at the given time. A load of an older
// epoch is dropped.
func (t *Table) Set(name string, load wire.Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.views[name]
	if v == nil {
		return
	}
	if v.known && load.Epoch < v.load.Epoch {
		t.stale.Inc(1)
		return
	}
	v.load, v.at, v.known, v.failed = load, at, true, time.Time{}
	v.heard()
}

// Failed notes that a placer couldn't be reached.
func (t *Table) Failed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.views[name]; v != nil {
		v.failed = t.clock.Now()
	}
}

// Leaving notes that a placer takes no more work, until its next load.
func (t *Table) Leaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.views[name]; v != nil {
		v.load.Leaving = true
	}
}

// Ready reports whether any placer can be offered work.
func (t *Table) Ready() bool {
	_, ok := t.Pick(Query{Kind: wire.Quick})
	return ok
}

// Pick chooses a placer: one with room in the own zone, else in another zone,
// else any that answers. Of two taken at random the one with the shorter wait
// is chosen, so that many entries don't all run to the same one.
func (t *Table) Pick(q Query) (Placer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := worstTier
	var found []*view
	for _, v := range t.views {
		tier := t.tierLocked(v, q)
		if tier > best || tier == worstTier {
			continue
		}
		if tier < best {
			best, found = tier, found[:0]
		}
		found = append(found, v)
	}
	if len(found) == 0 {
		return Placer{}, false
	}
	chosen := shorter(found, q.Queue)
	if chosen.Zone != t.zone {
		t.hops.Inc(1)
	}
	return chosen.Placer, true
}

func shorter(found []*view, queue string) *view {
	a := found[rand.IntN(len(found))] //nolint:gosec // Spreading load needs no secrecy.
	b := found[rand.IntN(len(found))] //nolint:gosec // As above.
	if b.wait(queue) < a.wait(queue) {
		return b
	}
	return a
}

// wait estimates a request's wait at the placer in milliseconds.
func (v *view) wait(queue string) int64 {
	return v.load.Wait[queue] + int64(v.inflight)*inflightCost
}
