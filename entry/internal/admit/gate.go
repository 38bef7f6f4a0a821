package admit

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// heldTimeWeight is the weight of a new sample in the moving average of the time
// that a slot is held.
const heldTimeWeight = 0.1

// Gate limits the number of concurrent requests. Its methods may be called
// concurrently.
type Gate struct {
	clock       *timer.Service
	slots       int // maximum number of concurrent requests
	maxQueued   int // maximum number of queued requests per team
	refused     metrics.Counter
	queuedGauge metrics.Gauge

	mu         sync.Mutex // guards the fields below
	inUse      int
	queued     int
	teams      map[string]*team
	roundRobin []*team       // teams with queued requests, in the order of their turns
	meanHold   time.Duration // moving average of the time that a slot is held
}

// New returns a Gate with the given number of slots. Each team may have up to
// maxQueued requests in its queue. The metrics are registered in r.
func New(clock *timer.Service, slots, maxQueued int, r metrics.Registry) *Gate {
	return &Gate{
		clock: clock, slots: slots, maxQueued: maxQueued, teams: make(map[string]*team),
		refused:     metrics.GetOrRegisterCounter("entry.admit.refused", r),
		queuedGauge: metrics.GetOrRegisterGauge("entry.admit.waiting", r),
	}
}

// Enter waits for a slot. It returns a function that releases the slot, or the
// reason for the refusal: wire.ReasonBusy if the team's queue is full or the
// estimated wait exceeds the deadline, wire.ReasonDeadline if the deadline passes in
// the queue, and wire.ReasonCancel if ctx ends. A zero deadline means none.
func (g *Gate) Enter(ctx context.Context, name string, deadline time.Time) (leave func(), reason string) {
	t, reason := g.acquireOrQueue(name, deadline)
	if reason != "" {
		g.refused.Inc(1)
		return nil, reason
	}
	if t == nil {
		return g.releaseFunc(), ""
	}
	expired := make(chan struct{})
	if !deadline.IsZero() {
		alarm := g.clock.After(deadline.Sub(g.clock.Now()), func() { close(expired) })
		defer alarm.Stop()
	}
	select {
	case <-t.ready:
		return g.releaseFunc(), ""
	case <-expired:
		reason = wire.ReasonDeadline
	case <-ctx.Done():
		reason = wire.ReasonCancel
	}
	if g.abandon(t) {
		g.refused.Inc(1)
		return nil, reason
	}
	return g.releaseFunc(), ""
}

// acquireOrQueue takes a free slot and returns no ticket, or adds a ticket to the
// team's queue. Otherwise it returns the reason for the refusal.
func (g *Gate) acquireOrQueue(name string, deadline time.Time) (*ticket, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inUse < g.slots && g.queued == 0 {
		g.inUse++
		return nil, ""
	}
	tm := g.teams[name]
	if tm == nil {
		tm = &team{name: name}
		g.teams[name] = tm
	}
	if len(tm.waiting) >= g.maxQueued || g.missesDeadlineLocked(tm, deadline) {
		return nil, wire.ReasonBusy
	}
	t := &ticket{team: tm, ready: make(chan struct{})}
	tm.waiting = append(tm.waiting, t)
	g.queued++
	if !tm.inRoundRobin {
		tm.inRoundRobin = true
		g.roundRobin = append(g.roundRobin, tm)
	}
	g.queuedGauge.Update(int64(g.queued))
	return t, ""
}

// missesDeadlineLocked reports whether a new request of the team is expected to get
// a slot only after the deadline.
func (g *Gate) missesDeadlineLocked(tm *team, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	ahead := 0
	for _, other := range g.roundRobin {
		ahead += min(len(other.waiting), len(tm.waiting)+1)
	}
	wait := g.meanHold * time.Duration(ahead+1) / time.Duration(g.slots)
	return g.clock.Now().Add(wait).After(deadline)
}

// releaseFunc returns a function that releases one slot. Only its first call has
// an effect.
func (g *Gate) releaseFunc() func() {
	since := g.clock.Now()
	var once sync.Once
	return func() { once.Do(func() { g.release(g.clock.Now().Sub(since)) }) }
}

func (g *Gate) release(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.meanHold += time.Duration(heldTimeWeight * float64(held-g.meanHold))
	g.inUse--
	g.grantLocked()
}

// grantLocked grants the free slots to the queued requests, one per team in turn.
func (g *Gate) grantLocked() {
	for g.inUse < g.slots && len(g.roundRobin) > 0 {
		tm := g.roundRobin[0]
		g.roundRobin = g.roundRobin[1:]
		tm.inRoundRobin = false
		if len(tm.waiting) > 0 {
			t := tm.waiting[0]
			tm.waiting = tm.waiting[1:]
			t.granted = true
			close(t.ready)
			g.inUse++
			g.queued--
		}
		if len(tm.waiting) > 0 {
			tm.inRoundRobin = true
			g.roundRobin = append(g.roundRobin, tm)
			continue
		}
		delete(g.teams, tm.name)
	}
	g.queuedGauge.Update(int64(g.queued))
}

// abandon removes a ticket from its queue. It returns false if the slot was already
// granted.
func (g *Gate) abandon(t *ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.granted {
		return false
	}
	t.team.waiting = slices.DeleteFunc(t.team.waiting, func(o *ticket) bool { return o == t })
	g.queued--
	g.queuedGauge.Update(int64(g.queued))
	return true
}

// InUse returns the number of slots in use.
func (g *Gate) InUse() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}
