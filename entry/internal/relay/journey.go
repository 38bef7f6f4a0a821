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

// journey is one run of a request over all its attempts.
type journey struct {
	runner  *Runner
	order   *Order
	req     wire.Request
	answer  *answer
	query   route.Query
	wanted  context.Context // ends with the deadline or the caller's wish
	stop    context.CancelCauseFunc
	alarm   *timer.Timer
	broken  []string // placers whose streams broke off
	offers  int
	sends   int    // sends after which a start may have left
	left    bool   // a start may have left
	doubt   bool   // an earlier run may still go on
	refused Result // the latest refusal
}

// deadlineError is why a journey's time ended.
type deadlineError struct{}

// Error implements error.
func (*deadlineError) Error() string { return "the deadline passed" }

func newJourney(r *Runner, o *Order, sink Sink) *journey {
	j := &journey{
		runner: r, order: o, req: o.Request, answer: newAnswer(sink),
		query: route.Query{
			Kind: o.Request.Kind, Queue: o.Request.Queue, Needs: o.Request.Needs, Zone: o.Zone, Tried: make(map[string]bool),
		},
		refused: NotRun(wire.ReasonRoute, "no placer can be reached"),
	}
	j.req.Attempt = o.Base
	j.doubt = o.Doubt
	wanted := o.Wanted
	if wanted == nil {
		wanted = context.Background()
	}
	j.wanted, j.stop = context.WithCancelCause(wanted)
	if !o.Deadline.IsZero() {
		left := o.Deadline.Sub(r.clock.Now())
		j.alarm = r.clock.After(left, func() { j.stop(&deadlineError{}) })
	}
	return j
}

func (j *journey) close() {
	if j.alarm != nil {
		j.alarm.Stop()
	}
	j.stop(nil)
}

// unwanted returns why the request is no longer wanted, or an empty reason.
func (j *journey) unwanted() string {
	if j.wanted.Err() == nil {
		return ""
	}
	var late *deadlineError
	if errors.As(context.Cause(j.wanted), &late) {
		return wire.ReasonDeadline
	}
	return wire.ReasonCancel
}

// step makes one attempt and reports whether the journey is over.
func (j *journey) step(ctx context.Context) (Result, bool) {
	if reason := j.unwanted(); reason != "" {
		return NotRun(reason, ""), true
	}
	if ctx.Err() != nil {
		return NotRun(wire.ReasonLeaving, "the process is stopping"), true
	}
	if reason := j.order.Allow(); reason != "" {
		return NotRun(reason, ""), true
	}
	if j.doubt {
		if !j.settleAll(ctx) {
			return Unknown(wire.ReasonLost, "an earlier run may still go on"), true
		}
		j.doubt = false
		if reason := j.order.Allow(); reason != "" {
			return NotRun(reason, ""), true
		}
	}
	p, ok := j.pick()
	if !ok {
		return j.refused, true
	}
	j.query.Tried[p.Name] = true
	t := j.attempt(ctx, p)
	switch {
	case t.unsent:
		j.runner.routes.Failed(p.Name)
		j.offers++
		return j.refused, j.offers >= maxOffers
	case t.res.Outcome == wire.NotRun:
		return j.refusal(p, t.res)
	case t.res.Outcome == wire.Done || t.res.Outcome == wire.Failed && t.res.Reason != wire.ReasonLost:
		return t.res, true
	}
	return j.uncertain(ctx, p, t)
}

// pick chooses the next placer. One that broke off is asked again only if
// there is no other.
func (j *journey) pick() (route.Placer, bool) {
	p, ok := j.runner.routes.Pick(j.query)
	if ok || len(j.broken) == 0 {
		return p, ok
	}
	for _, name := range j.broken {
		delete(j.query.Tried, name)
	}
	j.broken = nil
	return j.runner.routes.Pick(j.query)
}

// refusal decides whether a refused request is offered to another placer.
func (j *journey) refusal(p route.Placer, res Result) (Result, bool) {
	j.refused = res
	j.offers++
	switch res.Reason {
	case wire.ReasonDeadline, wire.ReasonCancel, wire.ReasonKey, wire.ReasonQueue, wire.ReasonInvalid, wire.ReasonSize:
		return res, true
	case wire.ReasonLeaving:
		j.runner.routes.Leaving(p.Name)
	}
	if j.offers >= maxOffers {
		return res, true
	}
	j.runner.counts.offers.Inc(1)
	return res, false
}

// uncertain decides whether a request is sent again after a start may have
// left.
func (j *journey) uncertain(ctx context.Context, p route.Placer, t try) (Result, bool) {
	j.left = true
	j.sends++
	if !j.req.Idempotent || j.answer.begun || j.sends >= maxSends || j.unwanted() != "" || ctx.Err() != nil {
		return t.res, true
	}
	if !j.runner.budget.take(j.req.Team, j.runner.clock.Now()) {
		j.runner.counts.exhausts.Inc(1)
		return t.res, true
	}
	if t.res.Endpoint != "" {
		j.req.Avoid = append(j.req.Avoid, t.res.Endpoint)
	}
	delete(j.query.Tried, p.Name)
	if t.broken {
		j.query.Tried[p.Name] = true
		j.broken = append(j.broken, p.Name)
	}
	if t.open && !j.settle(ctx, p.Zone) {
		return t.res, true // It may still run there, so it isn't run elsewhere.
	}
	j.answer.reset()
	j.runner.counts.retries.Inc(1)
	_ = j.runner.clock.Sleep(j.wanted, pause(j.sends))
	j.refused = t.res
	return t.res, false
}

// truthful corrects a refusal that follows an attempt which may have started.
func (j *journey) truthful(res Result) Result {
	if j.left && res.Outcome == wire.NotRun {
		return Unknown(wire.ReasonLost, "an earlier attempt may have run; the last one was refused: "+res.Reason)
	}
	if j.answer.begun {
		res.Streamed = true
	}
	return res
}

// left returns what remains of the deadline, 0 if there is none.
func (j *journey) remaining() time.Duration {
	if j.order.Deadline.IsZero() {
		return 0
	}
	return max(j.order.Deadline.Sub(j.runner.clock.Now()), time.Nanosecond)
}

// unsentBy reports whether an error says that nothing was sent.
func unsentBy(err error) bool {
	var dial *link.DialError
	var size *link.SizeError
	return errors.As(err, &dial) || errors.As(err, &size)
}
