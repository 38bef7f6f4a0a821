package relay

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// verbCode is how a process answers a verb that it doesn't serve.
const verbCode = "verb"

// try is what one attempt came to.
type try struct {
	res    Result
	unsent bool // nothing was sent
	broken bool // the placer itself was lost, not only an endpoint
	open   bool // a run may still go on, or begin
}

// attempt sends the request to one placer and reads its events.
func (j *journey) attempt(ctx context.Context, p route.Placer) try {
	j.req.Attempt++
	j.req.Budget = j.remaining()
	visit := j.runner.routes.Enter(p.Name)
	defer visit.Leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := j.open(ctx, p)
	if err != nil {
		return try{unsent: true}
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	var never atomic.Bool
	settle := context.AfterFunc(j.wanted, func() {
		if j.runner.cancel(ctx, p, j.req.ID).NotRun {
			never.Store(true)
		}
		j.runner.clock.After(graceTime, cancel)
	})
	defer settle()
	j.runner.counts.sends.Inc(1)
	if err := s.Send(j.req); err != nil {
		if unsentBy(err) {
			return try{res: NotRun(wire.ReasonSize, "the request is too large for a link")}
		}
		return j.lost(err, "")
	}
	_ = s.CloseSend()
	t := j.receive(s, visit.Heard)
	if reason := j.unwanted(); reason != "" && t.res.Reason == wire.ReasonCancel {
		t.res.Reason = reason // The placer was asked to cancel for this reason.
	}
	if t.broken && never.Load() {
		return try{res: NotRun(j.unwanted(), "")}
	}
	return t
}

// open opens a stream within the time that the request has.
func (j *journey) open(ctx context.Context, p route.Placer) (*link.Stream, error) {
	ctx, cancel := j.runner.within(ctx, openTime)
	defer cancel()
	stop := context.AfterFunc(j.wanted, cancel)
	defer stop()
	return j.runner.net.Open(ctx, p.Link, wire.VerbPlace)
}

// receive reads events until the outcome and calls heard for each.
func (j *journey) receive(s *link.Stream, heard func()) try {
	endpoint := ""
	for {
		var ev wire.Event
		if err := s.Recv(&ev); err != nil {
			return j.lost(err, endpoint)
		}
		heard()
		if ev.ID != j.req.ID || ev.Attempt != j.req.Attempt {
			j.runner.counts.foreign.Inc(1)
			continue
		}
		if ev.Endpoint != "" {
			endpoint = ev.Endpoint
		}
		if ev.Phase != "" {
			j.answer.sink.Phase(ev.Phase)
		}
		if len(ev.Chunk) > 0 {
			j.answer.add(ev.Chunk)
		}
		if ev.Outcome != "" {
			return j.ended(&ev, endpoint)
		}
	}
}

// ended reads an outcome. An answer that isn't whole is no success.
func (j *journey) ended(ev *wire.Event, endpoint string) try {
	res := Result{
		Outcome: ev.Outcome, Reason: ev.Reason, Detail: ev.Detail, Endpoint: endpoint,
		Code: ev.Code, Size: ev.Size, Sum: ev.Sum,
	}
	switch ev.Outcome {
	case wire.Done:
		if ev.Reason == wire.ReasonGone && j.answer.size == 0 {
			return try{res: res} // The answer is no longer kept.
		}
		if !j.answer.whole(ev) {
			j.runner.counts.short.Inc(1)
			res.Outcome, res.Reason = wire.Unknown, wire.ReasonShort
			return try{res: res}
		}
		res.Body = j.answer.held
	case wire.Failed:
		res.Body = j.answer.held
		res.Size, res.Sum = j.answer.size, j.answer.sum.Sum64()
	case wire.NotRun:
		if j.answer.size > 0 {
			res.Outcome = wire.Unknown
		}
	case wire.Unknown:
		return try{res: res, open: true}
	default:
		res.Outcome, res.Reason = wire.Unknown, wire.ReasonInvalid
	}
	return try{res: res}
}

// lost returns what is known of an attempt whose stream broke off.
func (j *journey) lost(err error, endpoint string) try {
	var remote *link.RemoteError
	if errors.As(err, &remote) && remote.Code == verbCode {
		return try{unsent: true}
	}
	j.runner.counts.broken.Inc(1)
	res := Unknown(wire.ReasonLost, err.Error())
	res.Endpoint = endpoint
	if reason := j.unwanted(); reason != "" {
		res.Reason = reason
	}
	return try{res: res, broken: true, open: true}
}
