package relay

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// codeUnknownVerb is the error code for a verb that a process doesn't serve.
const codeUnknownVerb = "verb"

// attemptResult is the result of one attempt.
type attemptResult struct {
	res          Result
	unsent       bool // nothing was sent
	streamLost   bool // the stream to the placer broke before the outcome
	mayBeRunning bool // a run may still be in progress, or may still start
}

// attempt sends the request to one placer and reads events until the outcome.
func (d *dispatch) attempt(ctx context.Context, p route.Placer) attemptResult {
	d.req.Attempt++
	d.req.Budget = d.remaining()
	active := d.runner.routes.Enter(p.Name)
	defer active.Leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := d.open(ctx, p)
	if err != nil {
		return attemptResult{unsent: true}
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	var neverStarts atomic.Bool
	stopCancel := context.AfterFunc(d.reqCtx, func() {
		if d.runner.cancel(ctx, p, d.req.ID).NotRun {
			neverStarts.Store(true)
		}
		d.runner.clock.After(graceTimeout, cancel)
	})
	defer stopCancel()
	d.runner.counts.sends.Inc(1)
	if err := s.Send(d.req); err != nil {
		if notSent(err) {
			return attemptResult{res: NotRun(wire.ReasonSize, "the request is too large for a link")}
		}
		return d.lost(err, "")
	}
	_ = s.CloseSend()
	t := d.receive(s, active.Answered)
	if reason := d.stopReason(); reason != "" && t.res.Reason == wire.ReasonCancel {
		t.res.Reason = reason // The placer was told to cancel for this reason.
	}
	if t.streamLost && neverStarts.Load() {
		return attemptResult{res: NotRun(d.stopReason(), "")}
	}
	return t
}

// open opens a stream to a placer. It is bounded by openTimeout and by the
// request's context.
func (d *dispatch) open(ctx context.Context, p route.Placer) (*link.Stream, error) {
	ctx, cancel := d.runner.withTimeout(ctx, openTimeout)
	defer cancel()
	stop := context.AfterFunc(d.reqCtx, cancel)
	defer stop()
	return d.runner.net.Open(ctx, p.Link, wire.VerbPlace)
}

// receive reads events until the outcome and calls onEvent for each.
func (d *dispatch) receive(s *link.Stream, onEvent func()) attemptResult {
	endpoint := ""
	for {
		var ev wire.Event
		if err := s.Recv(&ev); err != nil {
			return d.lost(err, endpoint)
		}
		onEvent()
		if ev.ID != d.req.ID || ev.Attempt != d.req.Attempt {
			d.runner.counts.foreign.Inc(1)
			continue
		}
		if ev.Endpoint != "" {
			endpoint = ev.Endpoint
		}
		if ev.Phase != "" {
			d.answer.sink.Phase(ev.Phase)
		}
		if len(ev.Chunk) > 0 {
			d.answer.add(ev.Chunk)
		}
		if ev.Outcome != "" {
			return d.handleOutcome(&ev, endpoint)
		}
	}
}

// handleOutcome converts an event with an outcome to a result. If the answer is
// incomplete, the outcome is unknown instead of done.
func (d *dispatch) handleOutcome(ev *wire.Event, endpoint string) attemptResult {
	res := Result{
		Outcome: ev.Outcome, Reason: ev.Reason, Detail: ev.Detail, Endpoint: endpoint,
		Code: ev.Code, Size: ev.Size, Sum: ev.Sum,
	}
	switch ev.Outcome {
	case wire.Done:
		if ev.Reason == wire.ReasonGone && d.answer.size == 0 {
			return attemptResult{res: res} // The answer is no longer kept.
		}
		if !d.answer.complete(ev) {
			d.runner.counts.incomplete.Inc(1)
			res.Outcome, res.Reason = wire.Unknown, wire.ReasonShort
			return attemptResult{res: res}
		}
		res.Body = d.answer.buffer
	case wire.Failed:
		res.Body = d.answer.buffer
		res.Size, res.Sum = d.answer.size, d.answer.sum.Sum64()
	case wire.NotRun:
		if d.answer.size > 0 {
			res.Outcome = wire.Unknown
		}
	case wire.Unknown:
		return attemptResult{res: res, mayBeRunning: true}
	default:
		res.Outcome, res.Reason = wire.Unknown, wire.ReasonInvalid
	}
	return attemptResult{res: res}
}

// lost returns the result of an attempt whose stream broke before the outcome.
func (d *dispatch) lost(err error, endpoint string) attemptResult {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == codeUnknownVerb {
		return attemptResult{unsent: true}
	}
	d.runner.counts.broken.Inc(1)
	res := Unknown(wire.ReasonLost, err.Error())
	res.Endpoint = endpoint
	if reason := d.stopReason(); reason != "" {
		res.Reason = reason
	}
	return attemptResult{res: res, streamLost: true, mayBeRunning: true}
}
