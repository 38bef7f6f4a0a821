package relay

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// Offer offers an accepted job to placers until one of them becomes its driver,
// and returns the driver's name. If none does, the outcome of the result is
// NotRun only if every placer that was reached refused the job.
func (r *Runner) Offer(ctx context.Context, o *Order) (driver string, res Result) {
	d := newDispatch(r, o, discard{})
	defer d.close()
	for d.offers < maxOffers && ctx.Err() == nil {
		p, ok := r.routes.Pick(d.query)
		if !ok {
			return "", d.finalResult(d.lastRefusal)
		}
		d.query.Tried[p.Name] = true
		t, accepted := d.offerTo(ctx, p)
		if accepted {
			return p.Name, Result{}
		}
		d.offers++
		switch {
		case t.unsent:
			r.routes.Failed(p.Name)
		case t.res.Outcome == wire.NotRun:
			d.lastRefusal = t.res
		default:
			d.mayHaveStarted = true
		}
	}
	return "", d.finalResult(d.lastRefusal)
}

// offerTo offers the job to one placer and reports whether the placer accepted
// it.
func (d *dispatch) offerTo(ctx context.Context, p route.Placer) (attemptResult, bool) {
	d.req.Attempt++
	d.req.Budget = d.remaining()
	ctx, cancel := d.runner.withTimeout(ctx, graceTimeout)
	defer cancel()
	s, err := d.open(ctx, p)
	if err != nil {
		return attemptResult{unsent: true}, false
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	if err := s.Send(d.req); err != nil {
		return d.lost(err, ""), false
	}
	_ = s.CloseSend()
	for {
		var ev wire.Event
		if err := s.Recv(&ev); err != nil {
			return d.lost(err, ""), false
		}
		if ev.ID != d.req.ID || ev.Attempt != d.req.Attempt {
			d.runner.counts.foreign.Inc(1)
			continue
		}
		if ev.Outcome != "" {
			t := d.handleOutcome(&ev, "")
			return t, t.res.Outcome != wire.NotRun && ev.Phase == wire.Ended
		}
		if ev.Phase != "" {
			return attemptResult{}, true
		}
	}
}

// discard is a Sink that discards everything.
type discard struct{}

// Phase implements Sink.
func (discard) Phase(wire.Phase) {}

// Chunk implements Sink.
func (discard) Chunk([]byte) error { return nil }
