package relay

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// dispatch is the state of one run of a request across all its attempts.
type dispatch struct {
	runner         *Runner
	order          *Order
	req            wire.Request
	answer         *answer
	query          route.Query
	reqCtx         context.Context // cancelled at the deadline or by the caller
	cancel         context.CancelCauseFunc
	deadlineTimer  *timer.Timer
	brokenPlacers  []string // placers whose streams broke
	offers         int
	uncertainSends int    // sends after which the placer may have started the request
	mayHaveStarted bool   // a placer may have sent the request to an endpoint
	inDoubt        bool   // an earlier run may still be in progress
	lastRefusal    Result // refusal of the latest attempt
}

// deadlineError is the cause with which reqCtx is cancelled at the deadline.
type deadlineError struct{}

// Error implements error.
func (*deadlineError) Error() string { return "the deadline passed" }

func newDispatch(r *Runner, o *Order, sink Sink) *dispatch {
	d := &dispatch{
		runner: r, order: o, req: o.Request, answer: newAnswer(sink),
		query: route.Query{
			Kind: o.Request.Kind, Queue: o.Request.Queue, Needs: o.Request.Needs, Zone: o.Zone, Tried: make(map[string]bool),
		},
		lastRefusal: NotRun(wire.ReasonRoute, "no placer can be reached"),
	}
	d.req.Attempt = o.Base
	d.inDoubt = o.InDoubt
	reqCtx := o.Context
	if reqCtx == nil {
		reqCtx = context.Background()
	}
	d.reqCtx, d.cancel = context.WithCancelCause(reqCtx)
	if !o.Deadline.IsZero() {
		left := o.Deadline.Sub(r.clock.Now())
		d.deadlineTimer = r.clock.After(left, func() { d.cancel(&deadlineError{}) })
	}
	return d
}

func (d *dispatch) close() {
	if d.deadlineTimer != nil {
		d.deadlineTimer.Stop()
	}
	d.cancel(nil)
}

// stopReason returns the reason code for which reqCtx has ended, or an empty
// string while it hasn't.
func (d *dispatch) stopReason() string {
	if d.reqCtx.Err() == nil {
		return ""
	}
	var expired *deadlineError
	if errors.As(context.Cause(d.reqCtx), &expired) {
		return wire.ReasonDeadline
	}
	return wire.ReasonCancel
}

// step makes one attempt and reports whether the result is final.
func (d *dispatch) step(ctx context.Context) (Result, bool) {
	if reason := d.stopReason(); reason != "" {
		return NotRun(reason, ""), true
	}
	if ctx.Err() != nil {
		return NotRun(wire.ReasonLeaving, "the process is stopping"), true
	}
	if reason := d.order.Allow(); reason != "" {
		return NotRun(reason, ""), true
	}
	if d.inDoubt {
		if !d.settleAllZones(ctx) {
			return Unknown(wire.ReasonLost, "an earlier run may still go on"), true
		}
		d.inDoubt = false
		if reason := d.order.Allow(); reason != "" {
			return NotRun(reason, ""), true
		}
	}
	p, ok := d.pick()
	if !ok {
		return d.lastRefusal, true
	}
	d.query.Tried[p.Name] = true
	t := d.attempt(ctx, p)
	switch {
	case t.unsent:
		d.runner.routes.Failed(p.Name)
		d.offers++
		return d.lastRefusal, d.offers >= maxOffers
	case t.res.Outcome == wire.NotRun:
		return d.handleRefusal(p, t.res)
	case t.res.Outcome == wire.Done || t.res.Outcome == wire.Failed && t.res.Reason != wire.ReasonLost:
		return t.res, true
	}
	return d.handleUncertain(ctx, p, t)
}

// pick selects the placer for the next attempt. A placer whose stream broke is
// only selected again if there is no other.
func (d *dispatch) pick() (route.Placer, bool) {
	p, ok := d.runner.routes.Pick(d.query)
	if ok || len(d.brokenPlacers) == 0 {
		return p, ok
	}
	for _, name := range d.brokenPlacers {
		delete(d.query.Tried, name)
	}
	d.brokenPlacers = nil
	return d.runner.routes.Pick(d.query)
}

// handleRefusal decides whether a refused request is sent to another placer. It
// reports true if the refusal is final.
func (d *dispatch) handleRefusal(p route.Placer, res Result) (Result, bool) {
	d.lastRefusal = res
	d.offers++
	switch res.Reason {
	case wire.ReasonDeadline, wire.ReasonCancel, wire.ReasonKey, wire.ReasonQueue, wire.ReasonInvalid, wire.ReasonSize:
		return res, true
	case wire.ReasonLeaving:
		d.runner.routes.Leaving(p.Name)
	}
	if d.offers >= maxOffers {
		return res, true
	}
	d.runner.counts.offers.Inc(1)
	return res, false
}

// handleUncertain decides whether to retry a request that a placer may have
// started. It reports true if the result is final. Before a retry it waits
// until the placers of the zone confirm that no run is in progress.
func (d *dispatch) handleUncertain(ctx context.Context, p route.Placer, t attemptResult) (Result, bool) {
	d.mayHaveStarted = true
	d.uncertainSends++
	if !d.req.Idempotent || d.answer.streaming || d.uncertainSends >= maxSends || d.stopReason() != "" || ctx.Err() != nil {
		return t.res, true
	}
	if !d.runner.budget.take(d.req.Team, d.runner.clock.Now()) {
		d.runner.counts.overBudget.Inc(1)
		return t.res, true
	}
	if t.res.Endpoint != "" {
		d.req.Avoid = append(d.req.Avoid, t.res.Endpoint)
	}
	delete(d.query.Tried, p.Name)
	if t.streamLost {
		d.query.Tried[p.Name] = true
		d.brokenPlacers = append(d.brokenPlacers, p.Name)
	}
	if t.mayBeRunning && !d.settle(ctx, p.Zone) {
		return t.res, true // It may still be running there, so it must not start elsewhere.
	}
	d.answer.reset()
	d.runner.counts.retries.Inc(1)
	_ = d.runner.clock.Sleep(d.reqCtx, backoff(d.uncertainSends))
	d.lastRefusal = t.res
	return t.res, false
}

// finalResult replaces a "not run" result by an unknown outcome if an earlier
// attempt may have started, and marks a streamed answer.
func (d *dispatch) finalResult(res Result) Result {
	if d.mayHaveStarted && res.Outcome == wire.NotRun {
		return Unknown(wire.ReasonLost, "an earlier attempt may have run; the last one was refused: "+res.Reason)
	}
	if d.answer.streaming {
		res.Streamed = true
	}
	return res
}

// remaining returns the time until the deadline, at least 1 ns, or 0 if the
// request has no deadline.
func (d *dispatch) remaining() time.Duration {
	if d.order.Deadline.IsZero() {
		return 0
	}
	return max(d.order.Deadline.Sub(d.runner.clock.Now()), time.Nanosecond)
}

// notSent reports whether the error means that nothing was sent.
func notSent(err error) bool {
	var dial *link.DialError
	var size *link.SizeError
	return errors.As(err, &dial) || errors.As(err, &size)
}
