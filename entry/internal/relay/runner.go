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
	// maxOffers is the largest number of placers that are tried for a request
	// if each of them refuses it.
	maxOffers = 6
	// maxSends is how often an idempotent request is sent if a placer may have
	// started it each time.
	maxSends = 4
	// backoffStep is the base of the backoff: the mean pause before the n-th
	// retry is backoffStep * 2^n.
	backoffStep = 20 * time.Millisecond
	// graceTimeout is how long a placer may take to report the outcome after
	// the deadline or a cancellation, and to accept an offered job.
	graceTimeout = time.Second
	// openTimeout limits how long opening a stream to a placer may take.
	openTimeout = time.Second
)

// Network opens streams to other processes and calls them.
type Network interface {
	Open(ctx context.Context, address, verb string) (*link.Stream, error)
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Routes selects placers and is informed of their failures.
type Routes interface {
	Pick(q route.Query) (route.Placer, bool)
	Failed(name string)
	Leaving(name string)
	Enter(name string) *route.ActiveRequest
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

// Run sends a request to placers until it is answered, finally refused, or
// can't safely be retried. When ctx ends the request is aborted at once.
func (r *Runner) Run(ctx context.Context, o *Order, sink Sink) Result {
	d := newDispatch(r, o, sink)
	defer d.close()
	for {
		if res, done := d.step(ctx); done {
			return d.finalResult(res)
		}
	}
}

// Cancel tells the given placers to cancel a request. It reports whether any of
// them knew the request, and whether any of them reported that it was queued
// and will never start.
func (r *Runner) Cancel(ctx context.Context, placers []route.Placer, id string) (found, notRun bool) {
	for _, p := range placers {
		c := r.cancel(ctx, p, id)
		found, notRun = found || c.Found, notRun || c.NotRun
	}
	return found, notRun
}

func (r *Runner) cancel(ctx context.Context, p route.Placer, id string) wire.Cancelled {
	ctx, stop := r.withTimeout(ctx, graceTimeout)
	defer stop()
	var c wire.Cancelled
	if err := r.net.Call(ctx, p.Link, wire.VerbCancel, wire.Lookup{ID: id}, &c); err != nil {
		return wire.Cancelled{}
	}
	return c
}

// withTimeout returns a context that is cancelled after the timeout on the
// runner's clock.
func (r *Runner) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := r.clock.After(timeout, cancel)
	return ctx, func() { t.Stop(); cancel() }
}

// backoff returns a random pause before the n-th retry, between 0 and twice the
// mean.
func backoff(n int) time.Duration {
	limit := 2 * backoffStep << min(n, maxSends)
	return rand.N(limit) //nolint:gosec // Jitter needs no secrecy.
}
