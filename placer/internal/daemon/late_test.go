package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/conf"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
)

// stallingProxy is a proxy in front of an endpoint. While it is stalled it keeps
// the starts and loses stops and queries, like the socket of a suspended
// endpoint. Renewals pass, so that the owner keeps its epoch.
type stallingProxy struct {
	next fasthttp.RequestHandler

	mu            sync.Mutex // guards the fields below
	stalled       bool
	stalledStarts []point.Start
}

func (s *stallingProxy) setStalled(stalled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalled = stalled
}

func (s *stallingProxy) starts() []point.Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]point.Start(nil), s.stalledStarts...)
}

// handle forwards one call to the endpoint, or closes its connection.
func (s *stallingProxy) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	stalled := s.stalled
	path := string(ctx.Path())
	if stalled && path == point.PathRun {
		var in point.Start
		_ = json.Unmarshal(ctx.PostBody(), &in)
		s.stalledStarts = append(s.stalledStarts, in)
	}
	s.mu.Unlock()
	if stalled && (path == point.PathRun || path == point.PathStop || path == point.PathTasks) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	s.next(ctx)
}

// addExecutorBehindProxy adds an executor with one slot behind a stallingProxy.
func (z *zone) addExecutorBehindProxy(name string) (*engine.Endpoint, *stallingProxy) {
	e := engine.New(name, engine.WithKind(point.Executor), engine.WithPlace("a", ""), engine.WithCapacity(slots(1)),
		engine.WithTimer(z.timer), engine.WithLog(z.log))
	p := &stallingProxy{next: serve.NewEndpoint(e).Handle}
	address := z.listen(func(ln net.Listener) error { return serve.Run(z.ctx, ln, p.handle, 0) })
	z.engines[name] = e
	z.listed = append(z.listed, conf.Endpoint{Name: name, Kind: string(point.Executor), Zone: "a", Address: address})
	return e, p
}

func (z *zone) settle(p *runningPlacer, id string, attempt uint32) (wire.Settled, error) {
	ctx, cancel := context.WithTimeout(z.ctx, waitTimeout)
	defer cancel()
	var out wire.Settled
	err := z.caller.Call(ctx, p.settings.Link, wire.VerbSettle, wire.Lookup{ID: id, Attempt: attempt}, &out)
	return out, err
}

// TestLateStart delays a start of the current owner until a settle call has
// found no run of its request. The request may run elsewhere then, so the
// delayed start must not begin any more.
func TestLateStart(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 1)
	e, proxy := z.addExecutorBehindProxy("e0")
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	proxy.setStalled(true)
	req := quickRequest("a.late", engine.Body{Size: 10})
	req.Idempotent, req.Budget = true, 500*time.Millisecond
	r := z.sendRequest(p, req)
	is.NoErr(r.err)
	is.Equal(r.final.Outcome, wire.Unknown)
	out, err := z.settle(p, req.ID, 1)
	is.NoErr(err)
	is.True(!out.Clear) // the endpoint doesn't answer
	proxy.setStalled(false)
	z.eventually("no run is found", func() bool {
		out, err := z.settle(p, req.ID, 1)
		return err == nil && out.Clear
	})
	starts := proxy.starts()
	is.Equal(len(starts), 1)
	var refused *point.RefusedError
	is.True(errors.As(e.Start(z.ctx, starts[0]), &refused)) // the delayed start arrives
	is.Equal(z.count(engine.Began, req.ID), 0)
	// Its reserved capacity is free again.
	is.Equal(z.sendRequest(p, quickRequest("a.next", engine.Body{Size: 10})).final.Outcome, wire.Done)
}

// TestLateRequest sends a request to a placer after a settle call for it.
// Attempts up to the settled one must not start; later attempts must.
func TestLateRequest(t *testing.T) {
	tests := map[string]struct {
		attempt uint32
		id      string
		outcome wire.Outcome
	}{
		"the lost attempt": {attempt: 65, id: "a.late", outcome: wire.Unknown},
		"an earlier one":   {attempt: 2, id: "a.late", outcome: wire.Unknown},
		"the next one":     {attempt: 66, id: "a.late", outcome: wire.Done},
		"another request":  {attempt: 1, id: "a.other", outcome: wire.Done},
	}
	z := newZone(t, 1)
	z.addExecutorBehindProxy("e0")
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	out, err := z.settle(p, "a.late", 65)
	if err != nil || !out.Clear {
		t.Fatal(out, err)
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := quickRequest(tt.id, engine.Body{Size: 10})
			req.Idempotent, req.Attempt = true, tt.attempt
			is.Equal(z.sendRequest(p, req).final.Outcome, tt.outcome)
			began := false
			for _, e := range z.log.Events() {
				began = began || e.Event == engine.Began && e.Task == queue.TaskID(tt.id, 0) && e.Attempt == queue.FirstAttempt(tt.attempt)
			}
			is.Equal(began, tt.outcome == wire.Done)
		})
	}
}
