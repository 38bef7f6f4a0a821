package exec

import (
	"context"
	"errors"
	"io"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// try carries out one decision. It returns the final event, or true if nothing
// was started and the request may be queued again.
func (j *run) try(ctx context.Context, o queue.Order) (*wire.Event, bool) {
	r := j.runner
	pass, err := r.owner.Enter(o.Endpoint, o.Epoch)
	if err != nil {
		r.queue.Unsent(o)
		return j.retry(o, wire.ReasonFenced, false)
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
		return j.retry(o, wire.ReasonFenced, false)
	}
	// The run continues when the caller disconnects, because its capacity stays
	// reserved until it has ended anyway.
	start := j.start(o, pass)
	p := j.addPending(pass.Address(), &start, o)
	answer, err := r.client.Run(context.WithoutCancel(ctx), pass.Address(), start)
	pass.Done()
	if err != nil {
		return j.startFailed(o, pass, p, err)
	}
	defer func() { _ = answer.Close() }()
	pass.Answered()
	r.queue.Started(o)
	r.running.Inc(1)
	defer r.running.Dec(1)
	return j.relay(o, pass, p, answer), false
}

func (j *run) start(o queue.Order, pass *hold.Pass) point.Start {
	return point.Start{
		Owner: pass.Owner(), ID: queue.TaskID(j.req.ID, o.Task), Attempt: o.Attempt, Team: j.req.Team,
		Queue: j.req.Queue, Kind: wire.Quick, Name: j.req.Name, Needs: o.Needs, Lease: pass.Lease(), Body: j.req.Body,
	}
}

// addPending registers a start that is about to be sent as pending, if the
// request is idempotent; it returns nil otherwise.
func (j *run) addPending(address string, start *point.Start, o queue.Order) *pendingStart {
	if !j.req.Idempotent {
		return nil
	}
	p := &pendingStart{
		request: j.req.ID, address: address, order: o,
		stop: point.Stop{Owner: start.Owner, ID: start.ID, Attempt: start.Attempt, Mode: point.ModeStop},
	}
	j.runner.pending.add(p)
	return p
}

// retry queues the request again, or ends it as not run after maxTries. avoid
// is whether to avoid the endpoint from now on.
func (j *run) retry(o queue.Order, reason string, avoid bool) (*wire.Event, bool) {
	j.retries++
	if avoid {
		j.avoid = append(j.avoid, o.Endpoint)
	}
	if j.retries < maxTries {
		return nil, true
	}
	return &wire.Event{Outcome: wire.NotRun, Reason: reason, Endpoint: o.Endpoint}, false
}

// startFailed handles a start that returned an error.
func (j *run) startFailed(o queue.Order, pass *hold.Pass, p *pendingStart, err error) (*wire.Event, bool) {
	r := j.runner
	var refused *point.RefusedError
	var fenced *point.FencedError
	var failed *point.FailedError
	var lost *point.LostError
	switch {
	case errors.As(err, &refused):
		r.pending.remove(p)
		r.queue.Unsent(o)
		if refused.Reason == wire.ReasonLeaving {
			r.owner.Leaving(o.Endpoint)
		}
		return j.retry(o, refused.Reason, true)
	case errors.As(err, &fenced):
		r.pending.remove(p)
		r.queue.Unsent(o)
		return j.retry(o, wire.ReasonFenced, true)
	case errors.As(err, &lost) && lost.Unsent:
		r.pending.remove(p)
		r.queue.Unsent(o)
		return j.retry(o, wire.ReasonRoute, true)
	case errors.As(err, &failed):
		r.pending.remove(p)
		r.queue.Ended(o, false)
		return &wire.Event{Outcome: wire.Failed, Reason: wire.ReasonError, Code: failed.Code, Endpoint: o.Endpoint, Epoch: o.Epoch}, false
	}
	return j.resolve(o, pass, p, err), false
}

// relay streams the answer to the caller in chunks. The caller's flow control
// window limits how much of it is buffered here. After the caller has
// disconnected the rest is read and discarded.
func (j *run) relay(o queue.Order, pass *hold.Pass, p *pendingStart, answer *point.Answer) *wire.Event {
	buf := make([]byte, min(chunkSize, max(answer.Size(), 1)))
	callerGone := false
	for {
		n, err := answer.Read(buf)
		if n > 0 && !callerGone {
			chunk := &wire.Event{ID: j.req.ID, Attempt: j.req.Attempt, Epoch: o.Epoch, Chunk: buf[:n]}
			callerGone = j.out.Send(chunk) != nil
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			j.runner.pending.remove(p)
			j.runner.queue.Ended(o, true)
			return &wire.Event{Outcome: wire.Done, Endpoint: o.Endpoint, Epoch: o.Epoch, Size: answer.Size(), Sum: answer.Sum()}
		}
		return j.resolve(o, pass, p, err)
	}
}
