package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

const (
	// maxOffers is how many placers are asked for one request that each
	// refuses.
	maxOffers = 6
	// maxSends is how often an idempotent request is sent after a start may
	// have left.
	maxSends = 4
	// backoffStep is the mean of the first pause before a retry; it doubles
	// each time.
	backoffStep = 20 * time.Millisecond
	// graceTime is how long a placer's own word is awaited after a deadline
	// or a cancellation.
	graceTime = time.Second
	// openTime bounds the opening of a stream to a placer.
	openTime = time.Second
)

// Network reaches other processes.
type Network interface {
	Open(ctx context.Context, address, verb string) (*link.Stream, error)
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Routes chooses placers.
type Routes interface {
	Pick(q route.Query) (route.Placer, bool)
	Failed(name string)
	Leaving(name string)
	Enter(name string) *route.Visit
	Placers() []route.Placer
}

// Runner runs requests. It may be used concurrently.
type Runner struct {
	clock  *timer.Service
	net    Network
	routes Routes
	counts *counts
	budget *budget
}

// New returns a Runner.
func New(clock *timer.Service, net Network, routes Routes, r metrics.Registry) *Runner {
	return &Runner{clock: clock, net: net, routes: routes, counts: newCounts(r), budget: newBudget()}
}

// Run sends a request to placers until it is answered, refused for good, or
// can't truthfully be sent again. When ctx ends the request is given up at
// once.
func (r *Runner) Run(ctx context.Context, o *Order, sink Sink) Result {
	j := newJourney(r, o, sink)
	defer j.close()
	for {
		if res, over := j.step(ctx); over {
			return j.truthful(res)
		}
	}
}

// Cancel asks every given placer to end a request. It reports whether one of
// them said that the request was waiting and will never start.
func (r *Runner) Cancel(ctx context.Context, placers []route.Placer, id string) (found, notRun bool) {
	for _, p := range placers {
		c := r.cancel(ctx, p, id)
		found, notRun = found || c.Found, notRun || c.NotRun
	}
	return found, notRun
}

func (r *Runner) cancel(ctx context.Context, p route.Placer, id string) wire.Cancelled {
	ctx, stop := r.within(ctx, graceTime)
	defer stop()
	var c wire.Cancelled
	if err := r.net.Call(ctx, p.Link, wire.VerbCancel, wire.Lookup{ID: id}, &c); err != nil {
		return wire.Cancelled{}
	}
	return c
}

// within returns a context that ends after d on the runner's clock.
func (r *Runner) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := r.clock.After(d, cancel)
	return ctx, func() { t.Stop(); cancel() }
}

// pause returns a random time around the n-th backoff.
func pause(n int) time.Duration {
	top := 2 * backoffStep << min(n, maxSends)
	return rand.N(top) //nolint:gosec // Jitter needs no secrecy.
}
