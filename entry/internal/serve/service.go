package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
	"github.com/balsamford/balsamford/entry/internal/route"
)

const (
	// defaultDeadline applies to quick requests that set no deadline.
	defaultDeadline = 30 * time.Second
	// backgroundLimit is the largest number of goroutines for work that no
	// caller waits for.
	backgroundLimit = 4096
	// waitPollInterval is how often Wait checks for background work.
	waitPollInterval = 10 * time.Millisecond
	// forwardGrace is how long after its deadline a forwarded request may
	// still be answered by the host that holds its record.
	forwardGrace = 2 * time.Second
)

// sink receives the progress and the answer of a request while it runs.
type sink = relay.Sink

// Deps are the dependencies of a Service. All fields are required.
type Deps struct {
	Clock    *timer.Service
	Config   Config
	Net      relay.Network
	Ring     *record.Ring
	Self     record.Host
	Issuer   *record.Issuer
	Keeper   *record.Keeper
	Gate     *admit.Gate
	Table    *route.Table
	Runner   *relay.Runner
	Jobs     *jobs.Book
	Logger   *zap.Logger
	Registry metrics.Registry
}

// Service serves the HTTP API for callers and the calls of other entry
// processes. All methods may be called concurrently.
type Service struct {
	Deps
	counts     *counts
	refusals   *admit.Refusals
	active     activeSet
	drivers    drivers
	leaving    atomic.Bool     // new requests are refused
	inFlight   atomic.Int64    // requests that run here, also those that other entries forwarded
	background errgroup.Group  // Wait polls pending instead, since goBackground may run at the same time
	pending    atomic.Int64    // goroutines in background
	ctx        context.Context // ends when running requests are aborted
	cancel     context.CancelFunc
}

// New returns a Service.
func New(deps Deps) *Service {
	s := &Service{Deps: deps, counts: newCounts(deps.Registry), refusals: admit.NewRefusals(deps.Clock, deps.Registry)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.background.SetLimit(backgroundLimit)
	return s
}

// Mount registers the handlers for the calls of other entry processes.
func (s *Service) Mount(n *link.Node) {
	n.Handle(verbSubmit, link.HandlerFunc(s.handleSubmit))
	n.Handle(verbInquire, link.HandlerFunc(s.handleInquire))
	n.Handle(record.Verb, s.Keeper)
	n.Handle(jobs.Verb, s.Jobs)
}

// Leave makes the Service refuse new requests.
func (s *Service) Leave() { s.leaving.Store(true) }

// InFlight returns the number of requests in progress, including those that
// other entry hosts forwarded.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// Abort aborts all running requests. Their callers get the outcome as far as
// it is known, which is "unknown" for a request that may have started.
func (s *Service) Abort() { s.cancel() }

// Wait waits until no background work is left and all outcomes have been
// replicated to the records' other holders.
func (s *Service) Wait() {
	for s.pending.Load() > 0 {
		_ = s.Clock.Sleep(context.Background(), waitPollInterval)
	}
	s.Keeper.Wait()
}

// goBackground runs f in a new goroutine. It reports false, without running f,
// if backgroundLimit goroutines are in use.
func (s *Service) goBackground(f func()) bool {
	s.pending.Add(1)
	started := s.background.TryGo(func() error {
		defer s.pending.Add(-1)
		f()
		return nil
	})
	if !started {
		s.pending.Add(-1)
	}
	return started
}

// deadline returns the time by which a quick request must be answered. It is at
// most half the record's retention time away.
func (s *Service) deadline(budget time.Duration) time.Time {
	longest := s.Keeper.Retention() / 2
	if budget <= 0 {
		budget = defaultDeadline
	}
	return s.Clock.Now().Add(min(budget, longest))
}

// recheckKey returns a function to be called right before each send to a
// placer. It returns a reason code if the key may no longer submit the request,
// for example because it was revoked, or if the configuration has become stale.
func (s *Service) recheckKey(sub *submission) func() string {
	return func() string {
		team, reason := s.Config.Check(sub.Key, sub.Request.Queue, sub.Request.Kind)
		if reason == "" && team != sub.Request.Team {
			reason = wire.ReasonKey
		}
		if reason != "" {
			s.counts.revoked.Inc(1)
		}
		return reason
	}
}
