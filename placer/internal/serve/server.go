package serve

import (
	"context"
	"sync"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/exec"
	"github.com/balsamford/balsamford/placer/internal/jobs"
)

// Runner runs quick requests; an *exec.Runner is one.
type Runner interface {
	Run(ctx context.Context, req *wire.Request, out exec.Sender)
}

// Jobs drives batch, service and gang requests; a *jobs.Driver is one.
type Jobs interface {
	// Place takes the job over and reports its phases and its end on out.
	Place(ctx context.Context, req *wire.Request, out jobs.Sender) error
	// Job returns how a job stands.
	Job(ctx context.Context, id string) (*wire.Job, error)
	// Cancel asks for the end of a job.
	Cancel(ctx context.Context, id string) (wire.Cancelled, error)
}

// Settler looks for what is left of a quick request; an *exec.Settler is one.
type Settler interface {
	Settle(ctx context.Context, id string) wire.Settled
}

// Mux is where verbs are served; a *link.Node is one.
type Mux interface {
	Handle(verb string, h link.Handler)
}

// Server serves the verbs of a placer. All methods may be called
// concurrently.
type Server struct {
	runner Runner
	jobs   Jobs
	settle Settler
	floors *floors
	load   func() wire.Load
	refuse func(*wire.Request) string

	mu      sync.Mutex // guards the fields below
	leaving bool
	next    uint64
	calls   map[uint64]context.CancelCauseFunc
	byID    map[string]map[uint64]struct{}
}

// New returns a Server; load says what the placer has room for, refuse why a
// request may not run, or an empty reason.
func New(clock *timer.Service, r Runner, j Jobs, settle Settler, load func() wire.Load, refuse func(*wire.Request) string) *Server {
	return &Server{
		runner: r, jobs: j, settle: settle, floors: newFloors(clock), load: load, refuse: refuse,
		calls: make(map[uint64]context.CancelCauseFunc), byID: make(map[string]map[uint64]struct{}),
	}
}

// Register sets the handlers of all verbs that the server serves.
func (s *Server) Register(m Mux) {
	m.Handle(wire.VerbPlace, link.HandlerFunc(s.place))
	m.Handle(wire.VerbLoad, link.HandlerFunc(s.sendLoad))
	m.Handle(wire.VerbStatus, link.HandlerFunc(s.status))
	m.Handle(wire.VerbCancel, link.HandlerFunc(s.cancel))
	m.Handle(wire.VerbSettle, link.HandlerFunc(s.settled))
}

// Leave refuses new requests from now on, and ends those that wait as not
// run.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	calls := make([]context.CancelCauseFunc, 0, len(s.calls))
	for _, c := range s.calls {
		calls = append(calls, c)
	}
	s.mu.Unlock()
	for _, c := range calls {
		c(&exec.StopError{Reason: wire.ReasonLeaving})
	}
}

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Busy returns how many requests are under way.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// enter notes a request; leave has to be called at its end. It reports false
// if the placer is leaving.
func (s *Server) enter(req *wire.Request, stop context.CancelCauseFunc) (leave func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil, false
	}
	s.next++
	n, id := s.next, req.ID
	s.calls[n] = stop
	if req.Kind == wire.Quick { // a job is cancelled in its row
		if s.byID[id] == nil {
			s.byID[id] = make(map[uint64]struct{})
		}
		s.byID[id][n] = struct{}{}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.calls, n)
		delete(s.byID[id], n)
		if len(s.byID[id]) == 0 {
			delete(s.byID, id)
		}
	}, true
}

func (s *Server) place(ctx context.Context, stream *link.Stream) error {
	var req wire.Request
	if err := stream.Recv(&req); err != nil {
		return err
	}
	if reason := s.refusal(&req); reason != "" {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.NotRun, Reason: reason})
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	gone := context.AfterFunc(stream.Context(), func() { stop(&exec.StopError{Reason: wire.ReasonCancel}) })
	defer gone()
	leave, ok := s.enter(&req, stop)
	if !ok {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonLeaving})
	}
	defer leave()
	// It is among the calls already, so a search that begins now finds it.
	if req.Kind == wire.Quick && s.floors.refuses(req.ID, req.Attempt) {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.Unknown, Reason: wire.ReasonLost})
	}
	if req.Kind == wire.Quick {
		s.runner.Run(ctx, &req, stream)
		return nil
	}
	return s.jobs.Place(ctx, &req, stream)
}

func (s *Server) refusal(req *wire.Request) string {
	if !req.Kind.Valid() || req.ID == "" || req.Needs.Negative() || req.Tasks < 0 {
		return wire.ReasonInvalid
	}
	if req.Kind != wire.Quick {
		return "" // a job was accepted when its row was written
	}
	return s.refuse(req)
}

func (s *Server) sendLoad(_ context.Context, stream *link.Stream) error {
	var in wire.Empty
	if err := stream.Recv(&in); err != nil {
		return err
	}
	l := s.load()
	l.Leaving = s.Leaving()
	return stream.Send(&l)
}

// settled answers what is left of a quick request. One that is still served
// here is dropped from the queue; it counts until its call has ended.
func (s *Server) settled(ctx context.Context, stream *link.Stream) error {
	var in wire.Lookup
	if err := stream.Recv(&in); err != nil {
		return err
	}
	refused := s.floors.raise(in.ID, in.Attempt)
	served := s.halt(in.ID)
	out := s.settle.Settle(ctx, in.ID)
	out.Clear = out.Clear && refused && !served
	return stream.Send(&out)
}

// halt cancels all calls of a request, of which an earlier attempt may still
// have one, and reports whether there were any.
func (s *Server) halt(id string) bool {
	s.mu.Lock()
	stops := make([]context.CancelCauseFunc, 0, len(s.byID[id]))
	for n := range s.byID[id] {
		stops = append(stops, s.calls[n])
	}
	s.mu.Unlock()
	for _, stop := range stops {
		stop(&exec.StopError{Reason: wire.ReasonCancel})
	}
	return len(stops) > 0
}

func (s *Server) status(ctx context.Context, stream *link.Stream) error {
	var in wire.Lookup
	if err := stream.Recv(&in); err != nil {
		return err
	}
	job, err := s.jobs.Job(ctx, in.ID)
	if err != nil {
		return &link.RemoteError{Code: wire.ReasonGone, Text: err.Error()}
	}
	return stream.Send(job)
}

func (s *Server) cancel(ctx context.Context, stream *link.Stream) error {
	var in wire.Lookup
	if err := stream.Recv(&in); err != nil {
		return err
	}
	if s.halt(in.ID) {
		return stream.Send(&wire.Cancelled{Found: true})
	}
	out, err := s.jobs.Cancel(ctx, in.ID)
	if err != nil {
		return &link.RemoteError{Code: wire.ReasonRoute, Text: err.Error()}
	}
	return stream.Send(&out)
}
