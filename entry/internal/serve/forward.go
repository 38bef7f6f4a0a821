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
	// verbSubmit: submission in; Events out until one has an Outcome.
	verbSubmit = "submit"
	// maxHops is how many entry processes a request may pass.
	maxHops = 2
	// sendTries is how often a request is sent to its record's host; sending
	// it again joins it to the running one.
	sendTries = 2
	// openTime bounds the opening of a stream to another entry process.
	openTime = time.Second
)

// runHome answers a quick request: here if this host holds its record, else
// through the host that does.
func (s *Service) runHome(wanted context.Context, sub *submission, out sink) relay.Result {
	if sub.private {
		return s.runHere(wanted, sub, out)
	}
	first, second := s.Ring.Holders(sub.Request.ID)
	if first.Name == s.Self.Name {
		return s.runHere(wanted, sub, out)
	}
	res, sent, over := s.forward(wanted, sub, first, out)
	if over || sent && (res.Reason != wire.ReasonLost || res.Streamed) {
		return res
	}
	sub.Doubt = sub.Doubt || sent
	if second.Name == s.Self.Name {
		return afterLoss(sent, s.runHere(wanted, sub, out))
	}
	if second.Name != "" {
		if again, ok, _ := s.forward(wanted, sub, second, out); ok {
			return afterLoss(sent, again)
		}
	}
	switch {
	case sent:
		return res
	case sub.Request.Idempotent:
		return s.runHere(wanted, sub, out)
	}
	return relay.Unknown(wire.ReasonRecord, "no holder of the id's record can be reached")
}

// afterLoss returns the outcome of a request that may have run before, without
// a word of how it ended: "not run" is only true of the last run then.
func afterLoss(lost bool, res relay.Result) relay.Result {
	if !lost || res.Outcome != wire.NotRun {
		return res
	}
	return relay.Unknown(wire.ReasonLost, "an earlier run may have been lost; the last one was refused: "+res.Reason)
}

// forward sends a request to the host that holds its record and relays what
// comes back. It reports whether anything was sent, and whether the result is
// that host's own word.
func (s *Service) forward(wanted context.Context, sub *submission, to record.Host, out sink) (res relay.Result, sent, over bool) {
	if sub.Hops >= maxHops {
		return relay.Unknown(wire.ReasonLost, "the request is at another host"), true, false
	}
	for range sendTries {
		next, ok, over := s.forwardOnce(wanted, sub, to, out)
		if over && next.Outcome == wire.NotRun && next.Reason == wire.ReasonLeaving {
			break // It has not taken this try in; an earlier one may have run.
		}
		if over {
			return next, true, true
		}
		if !ok {
			break
		}
		res, sent = next, true
		if res.Streamed || wanted.Err() != nil {
			break
		}
	}
	return res, sent, false
}

// forwardOnce makes one try. It reports whether anything was sent, and
// whether the result is the other host's own word.
func (s *Service) forwardOnce(wanted context.Context, sub *submission, to record.Host, out sink) (res relay.Result, sent, over bool) {
	s.counts.forwards.Inc(1)
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if sub.Cancel {
		stop := context.AfterFunc(wanted, cancel)
		defer stop()
	}
	alarm := s.Clock.After(sub.deadline.Sub(s.Clock.Now())+forwardGrace, cancel)
	defer alarm.Stop()
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
	res, over = s.Runner.Follow(ctx, stream, sub.Request.ID, out)
	return res, true, over
}

// open opens a stream to another entry process.
func (s *Service) open(ctx context.Context, to record.Host) (*link.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alarm := s.Clock.After(openTime, cancel)
	defer alarm.Stop()
	return s.Net.Open(ctx, to.Link, verbSubmit)
}

// handleSubmit serves verbSubmit.
func (s *Service) handleSubmit(ctx context.Context, stream *link.Stream) error {
	var sub submission
	if err := stream.Recv(&sub); err != nil {
		return err
	}
	// The count goes up before leaving is looked at, so that a stop that has
	// seen no request at work gets none afterwards.
	s.working.Add(1)
	defer s.working.Add(-1)
	sub.deadline = s.deadline(sub.Request.Budget)
	id := sub.Request.ID
	if _, _, known := s.Keeper.Find(id); s.leaving.Load() && !known {
		return stream.Send(wire.Event{ID: id, Outcome: wire.NotRun, Reason: wire.ReasonLeaving})
	}
	if reason := s.allow(&sub)(); reason != "" {
		return stream.Send(wire.Event{ID: id, Outcome: wire.Unknown, Reason: reason, Detail: "refused by the host that keeps the record"})
	}
	wanted := context.WithoutCancel(ctx)
	if sub.Cancel {
		wanted = stream.Context()
	}
	out := &streamSink{stream: stream, id: id}
	res := s.runCounted(wanted, &sub, out)
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

// away asks the host that may be running a request, and reports whether it was
// reached.
func (s *Service) away(wanted context.Context, sub *submission, n record.Note, out sink) (relay.Result, bool) {
	h, ok := s.Ring.Host(n.Host)
	if !ok || h.Name == s.Self.Name {
		return relay.Unknown(wire.ReasonLost, "the process that ran it has ended"), false
	}
	res, sent, _ := s.forward(wanted, sub, h, out)
	if !sent {
		return relay.Unknown(wire.ReasonLost, "the host that ran it can't be reached"), false
	}
	return res, true
}
