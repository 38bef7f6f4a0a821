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
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
)

// socket stands before an endpoint. While it is shut the starts stay in it,
// and stops and questions are lost; renewals pass, so that the owner keeps
// its epoch.
type socket struct {
	next fasthttp.RequestHandler

	mu   sync.Mutex // guards the fields below
	shut bool
	held []point.Start
}

func (s *socket) set(shut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shut = shut
}

func (s *socket) starts() []point.Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]point.Start(nil), s.held...)
}

// handle answers one call, or closes its connection.
func (s *socket) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	shut := s.shut
	path := string(ctx.Path())
	if shut && path == point.PathRun {
		var in point.Start
		_ = json.Unmarshal(ctx.PostBody(), &in)
		s.held = append(s.held, in)
	}
	s.mu.Unlock()
	if shut && (path == point.PathRun || path == point.PathStop || path == point.PathTasks) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	s.next(ctx)
}

// behind adds an executor with one slot behind a socket.
func (z *zone) behind(name string) (*engine.Endpoint, *socket) {
	e := engine.New(name, engine.WithKind(point.Executor), engine.WithPlace("a", ""), engine.WithCapacity(slots(1)),
		engine.WithTimer(z.timer), engine.WithLog(z.log))
	s := &socket{next: serve.NewEndpoint(e).Handle}
	address := z.listen(func(ln net.Listener) error { return serve.Run(z.ctx, ln, s.handle, 0) })
	z.engines[name] = e
	z.places = append(z.places, conf.Endpoint{Name: name, Kind: string(point.Executor), Zone: "a", Address: address})
	return e, s
}

func (z *zone) settle(p *running, id string, attempt uint32) (wire.Settled, error) {
	ctx, cancel := context.WithTimeout(z.ctx, patience)
	defer cancel()
	var out wire.Settled
	err := z.caller.Call(ctx, p.settings.Link, wire.VerbSettle, wire.Lookup{ID: id, Attempt: attempt}, &out)
	return out, err
}

// TestLateStart holds a start back under the present owner until the search
// for its run has found nothing: it must not begin any more, since the request
// may then run elsewhere.
func TestLateStart(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 1)
	e, s := z.behind("e0")
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	s.set(true)
	req := quickRequest("a.late", engine.Body{Size: 10})
	req.Idempotent, req.Budget = true, 500*time.Millisecond
	r := z.place(p, req)
	is.NoErr(r.err)
	is.Equal(r.final.Outcome, wire.Unknown)
	out, err := z.settle(p, req.ID, 1)
	is.NoErr(err)
	is.True(!out.Clear) // the endpoint answers nothing
	s.set(false)
	z.eventually("no run is found", func() bool {
		out, err := z.settle(p, req.ID, 1)
		return err == nil && out.Clear
	})
	starts := s.starts()
	is.Equal(len(starts), 1)
	var refused *point.RefusedError
	is.True(errors.As(e.Start(z.ctx, starts[0]), &refused)) // it comes out of the socket
	is.Equal(z.count(engine.Began, req.ID), 0)
	// The room that was kept for it is free again.
	is.Equal(z.place(p, quickRequest("a.next", engine.Body{Size: 10})).final.Outcome, wire.Done)
}

// TestLateRequest sends a request to a placer that has said that none of it is
// left: the attempts that were made before may not start, later ones may.
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
	z.behind("e0")
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
			is.Equal(z.place(p, req).final.Outcome, tt.outcome)
			began := false
			for _, e := range z.log.Events() {
				began = began || e.Event == engine.Began && e.Task == desk.TaskID(tt.id, 0) && e.Attempt == desk.FirstAttempt(tt.attempt)
			}
			is.Equal(began, tt.outcome == wire.Done)
		})
	}
}
