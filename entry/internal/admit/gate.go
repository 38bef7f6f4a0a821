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

// weight is the share of a new sample in the mean time that a place is held.
const weight = 0.1

// Gate gives out places. Its methods may be called concurrently.
type Gate struct {
	clock   *timer.Service
	places  int // at a time
	bound   int // requests of one team that may wait
	refused metrics.Counter
	waits   metrics.Gauge

	mu      sync.Mutex // guards the fields below
	taken   int
	waiting int
	teams   map[string]*team
	turns   []*team       // teams with waiting requests, next one first
	held    time.Duration // mean time that a place is held
}

// New returns a Gate with the given number of places, at which each team may
// have up to bound requests waiting.
func New(clock *timer.Service, places, bound int, r metrics.Registry) *Gate {
	return &Gate{
		clock: clock, places: places, bound: bound, teams: make(map[string]*team),
		refused: metrics.GetOrRegisterCounter("entry.admit.refused", r),
		waits:   metrics.GetOrRegisterGauge("entry.admit.waiting", r),
	}
}

// Enter waits for a place. It returns a function that gives the place back,
// or the reason why there is none: the team has too many waiting, the
// deadline would pass before its turn, or ctx has ended. A zero deadline is
// none.
func (g *Gate) Enter(ctx context.Context, name string, deadline time.Time) (leave func(), reason string) {
	t, reason := g.ask(name, deadline)
	if reason != "" {
		g.refused.Inc(1)
		return nil, reason
	}
	if t == nil {
		return g.leaver(), ""
	}
	expired := make(chan struct{})
	if !deadline.IsZero() {
		alarm := g.clock.After(deadline.Sub(g.clock.Now()), func() { close(expired) })
		defer alarm.Stop()
	}
	select {
	case <-t.ready:
		return g.leaver(), ""
	case <-expired:
		reason = wire.ReasonDeadline
	case <-ctx.Done():
		reason = wire.ReasonCancel
	}
	if g.abandon(t) {
		g.refused.Inc(1)
		return nil, reason
	}
	return g.leaver(), ""
}

// ask takes a free place, or puts a ticket into the team's line.
func (g *Gate) ask(name string, deadline time.Time) (*ticket, string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.taken < g.places && g.waiting == 0 {
		g.taken++
		return nil, ""
	}
	tm := g.teams[name]
	if tm == nil {
		tm = &team{name: name}
		g.teams[name] = tm
	}
	if len(tm.waiting) >= g.bound || g.lateLocked(tm, deadline) {
		return nil, wire.ReasonBusy
	}
	t := &ticket{team: tm, ready: make(chan struct{})}
	tm.waiting = append(tm.waiting, t)
	g.waiting++
	if !tm.queued {
		tm.queued = true
		g.turns = append(g.turns, tm)
	}
	g.waits.Update(int64(g.waiting))
	return t, ""
}

// lateLocked reports whether a new request of the team would get its turn
// only after the deadline.
func (g *Gate) lateLocked(tm *team, deadline time.Time) bool {
	if deadline.IsZero() {
		return false
	}
	ahead := 0
	for _, other := range g.turns {
		ahead += min(len(other.waiting), len(tm.waiting)+1)
	}
	wait := g.held * time.Duration(ahead+1) / time.Duration(g.places)
	return g.clock.Now().Add(wait).After(deadline)
}

// leaver returns a function that gives one place back, once.
func (g *Gate) leaver() func() {
	since := g.clock.Now()
	var once sync.Once
	return func() { once.Do(func() { g.leave(g.clock.Now().Sub(since)) }) }
}

func (g *Gate) leave(held time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held += time.Duration(weight * float64(held-g.held))
	g.taken--
	g.grantLocked()
}

// grantLocked gives free places to the teams in turn.
func (g *Gate) grantLocked() {
	for g.taken < g.places && len(g.turns) > 0 {
		tm := g.turns[0]
		g.turns = g.turns[1:]
		tm.queued = false
		if len(tm.waiting) > 0 {
			t := tm.waiting[0]
			tm.waiting = tm.waiting[1:]
			t.given = true
			close(t.ready)
			g.taken++
			g.waiting--
		}
		if len(tm.waiting) > 0 {
			tm.queued = true
			g.turns = append(g.turns, tm)
			continue
		}
		delete(g.teams, tm.name)
	}
	g.waits.Update(int64(g.waiting))
}

// abandon takes a ticket out of its line; it reports false if the place had
// already been given.
func (g *Gate) abandon(t *ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.given {
		return false
	}
	t.team.waiting = slices.DeleteFunc(t.team.waiting, func(o *ticket) bool { return o == t })
	g.waiting--
	g.waits.Update(int64(g.waiting))
	return true
}

// Taken returns the number of places in use.
func (g *Gate) Taken() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.taken
}
