package serve

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

const (
	// verbSubmit sends a submission and receives wire.Events; the one with an
	// Outcome is the last.
	verbSubmit = "submit"
	// maxHops is how often a request may be forwarded between entry processes.
	maxHops = 2
	// forwardAttempts is how often a request is sent to the host that holds its
	// record. A repeated send doesn't start the request again: it waits for the
	// one that is running.
	forwardAttempts = 2
	// openTimeout limits how long opening a stream to another entry process
	// may take.
	openTimeout = time.Second
)

// runAtHolder runs a quick request on the host that holds its record: on this
// host, or by forwarding to the first holder and, if that can't be reached, to
// the second one.
func (s *Service) runAtHolder(reqCtx context.Context, sub *submission, out sink) relay.Result {
	if sub.freshID {
		return s.runLocal(reqCtx, sub, out)
	}
	first, second := s.Ring.Holders(sub.Request.ID)
	if first.Name == s.Self.Name {
		return s.runLocal(reqCtx, sub, out)
	}
	res, sent, final := s.forward(reqCtx, sub, first, out)
	if final || sent && (res.Reason != wire.ReasonLost || res.Streamed) {
		return res
	}
	sub.InDoubt = sub.InDoubt || sent
	if second.Name == s.Self.Name {
		return downgradeNotRun(sent, s.runLocal(reqCtx, sub, out))
	}
	if second.Name != "" {
		if again, ok, _ := s.forward(reqCtx, sub, second, out); ok {
			return downgradeNotRun(sent, again)
		}
	}
	switch {
	case sent:
		return res
	case sub.Request.Idempotent:
		return s.runLocal(reqCtx, sub, out)
	}
	return relay.Unknown(wire.ReasonRecord, "no holder of the id's record can be reached")
}

// downgradeNotRun replaces a "not run" result by an unknown outcome if an
// earlier run of the request may have executed: the refusal only covers the
// last run.
func downgradeNotRun(mayHaveRun bool, res relay.Result) relay.Result {
	if !mayHaveRun || res.Outcome != wire.NotRun {
		return res
	}
	return relay.Unknown(wire.ReasonLost, "an earlier run may have been lost; the last one was refused: "+res.Reason)
}

// forward sends a request to the host that holds its record and relays the
// events that come back. It reports whether anything was sent, and whether the
// result is final, that is, was reported by that host.
func (s *Service) forward(reqCtx context.Context, sub *submission, to record.Host, out sink) (res relay.Result, sent, final bool) {
	if sub.Hops >= maxHops {
		return relay.Unknown(wire.ReasonLost, "the request is at another host"), true, false
	}
	for range forwardAttempts {
		next, ok, final := s.forwardOnce(reqCtx, sub, to, out)
		if final && next.Outcome == wire.NotRun && next.Reason == wire.ReasonLeaving {
			break // The host refused this attempt, but an earlier one may have run.
		}
		if final {
			return next, true, true
		}
		if !ok {
			break
		}
		res, sent = next, true
		if res.Streamed || reqCtx.Err() != nil {
			break
		}
	}
	return res, sent, false
}

// forwardOnce makes one attempt to forward a request. Its results are those of
// forward.
func (s *Service) forwardOnce(reqCtx context.Context, sub *submission, to record.Host, out sink) (res relay.Result, sent, final bool) {
	s.counts.forwards.Inc(1)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if sub.Cancel {
		stop := context.AfterFunc(reqCtx, cancel)
		defer stop()
	}
	timeout := s.Clock.After(sub.deadline.Sub(s.Clock.Now())+forwardGrace, cancel)
	defer timeout.Stop()
	stream, err := s.open(ctx, to)
	if err != nil {
		return relay.Result{}, false, false
	}
	defer stream.Cancel()
	msg := *sub
	msg.Hops++
	msg.Request.Budget = max(sub.deadline.Sub(s.Clock.Now()), 1)
	if err := stream.Send(msg); err != nil {
		var size *link.SizeError
		if errors.As(err, &size) {
			return relay.NotRun(wire.ReasonSize, "the request is too large for a link"), true, true
		}
		return relay.Unknown(wire.ReasonLost, err.Error()), true, false
	}
	_ = stream.CloseSend()
	res, final = s.Runner.Follow(ctx, stream, sub.Request.ID, out)
	return res, true, final
}

// open opens a stream to another entry process.
func (s *Service) open(ctx context.Context, to record.Host) (*link.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := s.Clock.After(openTimeout, cancel)
	defer timeout.Stop()
	return s.Net.Open(ctx, to.Link, verbSubmit)
}

// handleSubmit serves verbSubmit.
func (s *Service) handleSubmit(ctx context.Context, stream *link.Stream) error {
	var sub submission
	if err := stream.Recv(&sub); err != nil {
		return err
	}
	// The count is incremented before leaving is read. A shutdown that sets
	// leaving and then sees a count of 0 can rely on no request coming later.
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	sub.deadline = s.deadline(sub.Request.Budget)
	id := sub.Request.ID
	if _, _, known := s.Keeper.Find(id); s.leaving.Load() && !known {
		return stream.Send(wire.Event{ID: id, Outcome: wire.NotRun, Reason: wire.ReasonLeaving})
	}
	if reason := s.recheckKey(&sub)(); reason != "" {
		return stream.Send(wire.Event{ID: id, Outcome: wire.Unknown, Reason: reason, Detail: "refused by the host that keeps the record"})
	}
	reqCtx := context.WithoutCancel(ctx)
	if sub.Cancel {
		reqCtx = stream.Context()
	}
	out := &streamSink{stream: stream, id: id}
	res := s.runCounted(reqCtx, &sub, out)
	if len(res.Body) > 0 {
		if err := out.Chunk(res.Body); err != nil {
			return err
		}
	}
	return stream.Send(wire.Event{
		ID: id, Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail, Endpoint: res.Endpoint,
		Code: res.Code, Size: res.Size, Sum: res.Sum,
	})
}

// forwardToClaimant forwards a request to the host that claimed it and may be
// running it. It reports whether that host was reached.
func (s *Service) forwardToClaimant(reqCtx context.Context, sub *submission, n record.Note, out sink) (relay.Result, bool) {
	h, ok := s.Ring.Host(n.Host)
	if !ok || h.Name == s.Self.Name {
		return relay.Unknown(wire.ReasonLost, "the process that ran it has ended"), false
	}
	res, sent, _ := s.forward(reqCtx, sub, h, out)
	if !sent {
		return relay.Unknown(wire.ReasonLost, "the host that ran it can't be reached"), false
	}
	return res, true
}
