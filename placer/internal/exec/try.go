package exec

import (
	"context"
	"errors"
	"io"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// try carries one decision out. It returns the final event, or true if
// nothing was started and the request may be decided again.
func (j *run) try(ctx context.Context, o desk.Order) (*wire.Event, bool) {
	r := j.runner
	pass, err := r.owner.Enter(o.Endpoint, o.Epoch)
	if err != nil {
		r.queue.Unsent(o)
		return j.again(o, wire.ReasonFenced, false)
	}
	sent := &wire.Event{
		ID: j.req.ID, Attempt: j.req.Attempt, Phase: wire.Sent, Endpoint: o.Endpoint, Epoch: o.Epoch,
	}
	if err := j.out.Send(sent); err != nil || !pass.Valid() {
		pass.Done()
		r.queue.Unsent(o)
		if err != nil {
			return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonCancel}, false
		}
		return j.again(o, wire.ReasonFenced, false)
	}
	// The run goes on when the caller leaves, because its room is taken until
	// it has ended anyway.
	start := j.start(o, pass)
	left := j.note(pass.Address(), &start, o)
	answer, err := r.client.Run(context.WithoutCancel(ctx), pass.Address(), start)
	pass.Done()
	if err != nil {
		return j.unanswered(o, pass, left, err)
	}
	defer func() { _ = answer.Close() }()
	pass.Answered()
	r.queue.Started(o)
	r.running.Inc(1)
	defer r.running.Dec(1)
	return j.relay(o, pass, left, answer), false
}

func (j *run) start(o desk.Order, pass *hold.Pass) point.Start {
	return point.Start{
		Owner: pass.Owner(), ID: desk.TaskID(j.req.ID, o.Task), Attempt: o.Attempt, Team: j.req.Team,
		Queue: j.req.Queue, Kind: wire.Quick, Name: j.req.Name, Needs: o.Needs, Lease: pass.Lease(), Body: j.req.Body,
	}
}

// note enters a start that is about to leave in starts, if the request may
// be repeated; it returns nil otherwise.
func (j *run) note(address string, in *point.Start, o desk.Order) *pending {
	if !j.req.Idempotent {
		return nil
	}
	p := &pending{
		request: j.req.ID, address: address, order: o,
		stop: point.Stop{Owner: in.Owner, ID: in.ID, Attempt: in.Attempt, Mode: point.ModeStop},
	}
	j.runner.starts.add(p)
	return p
}

// again lets the request be decided again, or ends it as not run once enough
// endpoints have been tried.
func (j *run) again(o desk.Order, reason string, avoid bool) (*wire.Event, bool) {
	j.starts++
	if avoid {
		j.avoid = append(j.avoid, o.Endpoint)
	}
	if j.starts < maxStarts {
		return nil, true
	}
	return &wire.Event{Outcome: wire.NotRun, Reason: reason, Endpoint: o.Endpoint}, false
}

// unanswered handles a start that brought no answer.
func (j *run) unanswered(o desk.Order, pass *hold.Pass, left *pending, err error) (*wire.Event, bool) {
	r := j.runner
	var refused *point.RefusedError
	var fenced *point.FencedError
	var failed *point.FailedError
	var lost *point.LostError
	switch {
	case errors.As(err, &refused):
		r.starts.drop(left)
		r.queue.Unsent(o)
		if refused.Reason == wire.ReasonLeaving {
			r.owner.Leaving(o.Endpoint)
		}
		return j.again(o, refused.Reason, true)
	case errors.As(err, &fenced):
		r.starts.drop(left)
		r.queue.Unsent(o)
		return j.again(o, wire.ReasonFenced, true)
	case errors.As(err, &lost) && lost.Unsent:
		r.starts.drop(left)
		r.queue.Unsent(o)
		return j.again(o, wire.ReasonRoute, true)
	case errors.As(err, &failed):
		r.starts.drop(left)
		r.queue.Ended(o, false)
		return &wire.Event{Outcome: wire.Failed, Reason: wire.ReasonError, Code: failed.Code, Endpoint: o.Endpoint, Epoch: o.Epoch}, false
	}
	return j.verdict(o, pass, left, err), false
}

// relay passes the answer on in chunks. The caller's window bounds how much
// of it is held here; once the caller has gone the rest is only counted.
func (j *run) relay(o desk.Order, pass *hold.Pass, left *pending, answer *point.Answer) *wire.Event {
	buf := make([]byte, min(chunkSize, max(answer.Size(), 1)))
	gone := false
	for {
		n, err := answer.Read(buf)
		if n > 0 && !gone {
			chunk := &wire.Event{ID: j.req.ID, Attempt: j.req.Attempt, Epoch: o.Epoch, Chunk: buf[:n]}
			gone = j.out.Send(chunk) != nil
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			j.runner.starts.drop(left)
			j.runner.queue.Ended(o, true)
			return &wire.Event{Outcome: wire.Done, Endpoint: o.Endpoint, Epoch: o.Epoch, Size: answer.Size(), Sum: answer.Sum()}
		}
		return j.verdict(o, pass, left, err)
	}
}
