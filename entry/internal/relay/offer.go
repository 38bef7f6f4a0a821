package relay

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// Offer offers an accepted job to placers until one says that it drives it.
// The result is NotRun only if every placer that was reached refused the job.
func (r *Runner) Offer(ctx context.Context, o *Order) (driver string, res Result) {
	j := newJourney(r, o, discard{})
	defer j.close()
	for j.offers < maxOffers && ctx.Err() == nil {
		p, ok := r.routes.Pick(j.query)
		if !ok {
			return "", j.truthful(j.refused)
		}
		j.query.Tried[p.Name] = true
		t, taken := j.propose(ctx, p)
		if taken {
			return p.Name, Result{}
		}
		j.offers++
		switch {
		case t.unsent:
			r.routes.Failed(p.Name)
		case t.res.Outcome == wire.NotRun:
			j.refused = t.res
		default:
			j.left = true
		}
	}
	return "", j.truthful(j.refused)
}

// propose makes one offer and waits until it is taken or refused.
func (j *journey) propose(ctx context.Context, p route.Placer) (try, bool) {
	j.req.Attempt++
	j.req.Budget = j.remaining()
	ctx, cancel := j.runner.within(ctx, graceTime)
	defer cancel()
	s, err := j.open(ctx, p)
	if err != nil {
		return try{unsent: true}, false
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	if err := s.Send(j.req); err != nil {
		return j.lost(err, ""), false
	}
	_ = s.CloseSend()
	for {
		var ev wire.Event
		if err := s.Recv(&ev); err != nil {
			return j.lost(err, ""), false
		}
		if ev.ID != j.req.ID || ev.Attempt != j.req.Attempt {
			j.runner.counts.foreign.Inc(1)
			continue
		}
		if ev.Outcome != "" {
			t := j.ended(&ev, "")
			return t, t.res.Outcome != wire.NotRun && ev.Phase == wire.Ended
		}
		if ev.Phase != "" {
			return try{}, true
		}
	}
}

// discard is a Sink that takes nothing.
type discard struct{}

// Phase implements Sink.
func (discard) Phase(wire.Phase) {}

// Chunk implements Sink.
func (discard) Chunk([]byte) error { return nil }
