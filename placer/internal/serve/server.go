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

// Runner runs quick requests; *exec.Runner implements it.
type Runner interface {
	Run(ctx context.Context, req *wire.Request, out exec.Sender)
}

// Jobs drives batch, service and gang requests; *jobs.Driver implements it.
type Jobs interface {
	// Place becomes the driver of the job and sends its phases and its outcome
	// to out.
	Place(ctx context.Context, req *wire.Request, out jobs.Sender) error
	// Job returns the state of a job.
	Job(ctx context.Context, id string) (*wire.Job, error)
	// Cancel requests the cancellation of a job.
	Cancel(ctx context.Context, id string) (wire.Cancelled, error)
}

// Settler stops the remaining runs of a quick request; *exec.Settler implements
// it.
type Settler interface {
	Settle(ctx context.Context, id string) wire.Settled
}

// Mux registers handlers of verbs; *link.Node implements it.
type Mux interface {
	Handle(verb string, h link.Handler)
}

// Server serves the verbs of a placer. All methods may be called
// concurrently.
type Server struct {
	runner        Runner
	jobs          Jobs
	settler       Settler
	fences        *attemptFences
	load          func() wire.Load
	refusalReason func(*wire.Request) string

	mu       sync.Mutex // guards the fields below
	leaving  bool
	lastCall uint64
	calls    map[uint64]context.CancelCauseFunc
	byID     map[string]map[uint64]struct{}
}

// New returns a Server. load returns the placer's load. refusalReason returns
// why a quick request may not run, or an empty string if it may.
func New(clock *timer.Service, r Runner, j Jobs, settler Settler, load func() wire.Load, refusalReason func(*wire.Request) string) *Server {
	return &Server{
		runner: r, jobs: j, settler: settler, fences: newAttemptFences(clock), load: load, refusalReason: refusalReason,
		calls: make(map[uint64]context.CancelCauseFunc), byID: make(map[string]map[uint64]struct{}),
	}
}

// Register registers the handlers of all verbs that the server serves.
func (s *Server) Register(m Mux) {
	m.Handle(wire.VerbPlace, link.HandlerFunc(s.place))
	m.Handle(wire.VerbLoad, link.HandlerFunc(s.sendLoad))
	m.Handle(wire.VerbStatus, link.HandlerFunc(s.status))
	m.Handle(wire.VerbCancel, link.HandlerFunc(s.cancel))
	m.Handle(wire.VerbSettle, link.HandlerFunc(s.settle))
}

// Leave refuses new requests from now on and cancels the calls in progress.
// Quick requests that are still queued end as not run.
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

// Busy returns the number of requests in progress.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// addCall registers a request in progress. removeCall must be called at its end.
// addCall returns false if the placer is leaving.
func (s *Server) addCall(req *wire.Request, stop context.CancelCauseFunc) (removeCall func(), ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return nil, false
	}
	s.lastCall++
	n, id := s.lastCall, req.ID
	s.calls[n] = stop
	if req.Kind == wire.Quick { // a job is cancelled through its row instead
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
	if reason := s.checkRequest(&req); reason != "" {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.NotRun, Reason: reason})
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	unregister := context.AfterFunc(stream.Context(), func() { stop(&exec.StopError{Reason: wire.ReasonCancel}) })
	defer unregister()
	removeCall, ok := s.addCall(&req, stop)
	if !ok {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonLeaving})
	}
	defer removeCall()
	// The call is registered already, so a settle call that begins now finds it.
	if req.Kind == wire.Quick && s.fences.rejects(req.ID, req.Attempt) {
		return stream.Send(&wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.Unknown, Reason: wire.ReasonLost})
	}
	if req.Kind == wire.Quick {
		s.runner.Run(ctx, &req, stream)
		return nil
	}
	return s.jobs.Place(ctx, &req, stream)
}

func (s *Server) checkRequest(req *wire.Request) string {
	if !req.Kind.Valid() || req.ID == "" || req.Needs.Negative() || req.Tasks < 0 {
		return wire.ReasonInvalid
	}
	if req.Kind != wire.Quick {
		return "" // a job was accepted when its row was written
	}
	return s.refusalReason(req)
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

// settle stops the remaining runs of a quick request and reports whether there
// are none left. A call of the request that is still in progress is cancelled;
// until it has ended the answer isn't clear.
func (s *Server) settle(ctx context.Context, stream *link.Stream) error {
	var in wire.Lookup
	if err := stream.Recv(&in); err != nil {
		return err
	}
	refused := s.fences.raise(in.ID, in.Attempt)
	active := s.cancelCalls(in.ID)
	out := s.settler.Settle(ctx, in.ID)
	out.Clear = out.Clear && refused && !active
	return stream.Send(&out)
}

// cancelCalls cancels all calls of a quick request and reports whether there
// were any. An earlier attempt of the request may still have one.
func (s *Server) cancelCalls(id string) bool {
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
	if s.cancelCalls(in.ID) {
		return stream.Send(&wire.Cancelled{Found: true})
	}
	out, err := s.jobs.Cancel(ctx, in.ID)
	if err != nil {
		return &link.RemoteError{Code: wire.ReasonRoute, Text: err.Error()}
	}
	return stream.Send(&out)
}
