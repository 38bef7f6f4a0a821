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
	// pollTimeout bounds one call for a load.
	pollTimeout = time.Second
	// staleAfter is how long a load remains valid, in addition to the time that it
	// takes to poll all placers.
	staleAfter = 3 * time.Second
	// unreachableTime is how long a placer gets no requests after a failure to
	// reach it.
	unreachableTime = 2 * time.Second
	// remoteRetryTime is how long a placer of another zone isn't polled after a
	// failure to reach it.
	remoteRetryTime = 10 * time.Second
	// inflightWaitMs is added to a placer's estimated wait for each request of this
	// process in progress there.
	inflightWaitMs = 1
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Table holds the loads of all placers. All methods may be called concurrently.
type Table struct {
	clock      *timer.Service
	caller     Caller
	zone       string
	otherZone  metrics.Counter // picks of a placer in another zone
	staleLoads metrics.Counter // dropped loads of an earlier placer process
	schedule   *pollSchedule
	probes     chan Placer // placers to poll immediately

	mu     sync.Mutex // guards states
	states map[string]*placerState
}

// New returns a Table of placers for a process in zone.
func New(clock *timer.Service, caller Caller, zone string, placers []Placer, r metrics.Registry) *Table {
	t := &Table{
		clock: clock, caller: caller, zone: zone, schedule: newPollSchedule(zone, placers), states: make(map[string]*placerState),
		probes:     make(chan Placer, len(placers)),
		otherZone:  metrics.GetOrRegisterCounter("entry.route.zones", r),
		staleLoads: metrics.GetOrRegisterCounter("entry.route.stale", r),
	}
	for _, p := range placers {
		t.states[p.Name] = &placerState{Placer: p}
	}
	return t
}

// Run polls the loads of the placers until ctx ends. The error is always nil.
func (t *Table) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { t.runProbes(ctx, &g); return nil })
	g.Go(func() error { t.runPolls(ctx); return nil })
	return g.Wait()
}

// runProbes polls the placers that are queued in t.probes.
func (t *Table) runProbes(ctx context.Context, g *errgroup.Group) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-t.probes:
			g.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, pollTimeout)
				defer cancel()
				t.requestLoad(ctx, p)
				return nil
			})
		}
	}
}

func (t *Table) runPolls(ctx context.Context) {
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

// Poll requests the loads of the next placers in the schedule and waits for the
// answers. Successive polls cover all watched placers.
func (t *Table) Poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var g errgroup.Group
	for _, p := range t.schedule.next(t.recentlyFailed) {
		g.Go(func() error { t.requestLoad(ctx, p); return nil })
	}
	_ = g.Wait()
}

// Placers returns all configured placers in no particular order.
func (t *Table) Placers() []Placer {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Placer, 0, len(t.states))
	for _, v := range t.states {
		out = append(out, v.Placer)
	}
	return out
}

// recentlyFailed reports whether a placer was unreachable within remoteRetryTime.
func (t *Table) recentlyFailed(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.states[name]
	return v != nil && !v.failedAt.IsZero() && t.clock.Now().Sub(v.failedAt) < remoteRetryTime
}

// fresh reports whether the load of a placer is recent enough to be used.
func (t *Table) fresh(v *placerState, now time.Time) bool {
	limit := staleAfter + t.schedule.localPeriod()
	if v.Zone != t.zone {
		limit = staleAfter + t.schedule.remotePeriod()
	}
	return v.loaded && now.Sub(v.requestedAt) <= limit
}

func (t *Table) requestLoad(ctx context.Context, p Placer) {
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

// Set stores a load that was requested at the given time. It drops a load with an
// older epoch than the stored one.
func (t *Table) Set(name string, load wire.Load, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.states[name]
	if v == nil {
		return
	}
	if v.loaded && load.Epoch < v.load.Epoch {
		t.staleLoads.Inc(1)
		return
	}
	v.load, v.requestedAt, v.loaded, v.failedAt = load, at, true, time.Time{}
	v.clearUnanswered()
}

// Failed records that a placer was unreachable.
func (t *Table) Failed(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.states[name]; v != nil {
		v.failedAt = t.clock.Now()
	}
}

// Leaving records that a placer accepts no more work. Its next load replaces this.
func (t *Table) Leaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.states[name]; v != nil {
		v.load.Leaving = true
	}
}

// Ready reports whether any placer can be offered work.
func (t *Table) Ready() bool {
	_, ok := t.Pick(Query{Kind: wire.Quick})
	return ok
}

// Pick selects a placer: one with free capacity in this zone, else one with free
// capacity in another zone, else any that responds. Within a tier it draws two at
// random and takes the one with the shorter wait, so that the entry processes
// don't all select the same placer. It returns false if no placer is eligible.
func (t *Table) Pick(q Query) (Placer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := ineligible
	var candidates []*placerState
	for _, v := range t.states {
		tier := t.tierLocked(v, q)
		if tier > best || tier == ineligible {
			continue
		}
		if tier < best {
			best, candidates = tier, candidates[:0]
		}
		candidates = append(candidates, v)
	}
	if len(candidates) == 0 {
		return Placer{}, false
	}
	chosen := shorterOfTwo(candidates, q.Queue)
	if chosen.Zone != t.zone {
		t.otherZone.Inc(1)
	}
	return chosen.Placer, true
}

func shorterOfTwo(candidates []*placerState, queue string) *placerState {
	a := candidates[rand.IntN(len(candidates))] //nolint:gosec // Spreading load needs no secrecy.
	b := candidates[rand.IntN(len(candidates))] //nolint:gosec // As above.
	if b.wait(queue) < a.wait(queue) {
		return b
	}
	return a
}

// wait returns the estimated wait of a request at the placer in milliseconds.
func (v *placerState) wait(queue string) int64 {
	return v.load.Wait[queue] + int64(v.inflight)*inflightWaitMs
}
