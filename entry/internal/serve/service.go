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
	// defaultDeadline is the deadline of quick requests that name none.
	defaultDeadline = 30 * time.Second
	// backgroundLimit bounds requests that run without a waiting caller.
	backgroundLimit = 4096
	// waitLook is how often Wait looks for the end of what runs in the
	// background.
	waitLook = 10 * time.Millisecond
	// forwardGrace is how long after the deadline the word of the record's
	// host is awaited.
	forwardGrace = 2 * time.Second
)

// sink takes what comes back while a request runs.
type sink = relay.Sink

// Parts are what a Service is built of.
type Parts struct {
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

// Service serves callers and other entry processes. All methods may be
// called concurrently.
type Service struct {
	Parts
	counts  *counts
	late    *admit.Refusals
	lives   lives
	drivers drivers
	leaving atomic.Bool
	working atomic.Int64   // requests that run here
	group   errgroup.Group // its end is awaited by pending, so that Wait and later may overlap
	pending atomic.Int64
	ctx     context.Context // ends when requests have to be given up
	stop    context.CancelFunc
}

// New returns a Service.
func New(parts Parts) *Service {
	s := &Service{Parts: parts, counts: newCounts(parts.Registry), late: admit.NewRefusals(parts.Clock, parts.Registry)}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.group.SetLimit(backgroundLimit)
	return s
}

// Mount sets the handlers of the calls that other entry processes make.
func (s *Service) Mount(n *link.Node) {
	n.Handle(verbSubmit, link.HandlerFunc(s.handleSubmit))
	n.Handle(verbInquire, link.HandlerFunc(s.handleInquire))
	n.Handle(record.Verb, s.Keeper)
	n.Handle(jobs.Verb, s.Jobs)
}

// Leave refuses new requests from now on.
func (s *Service) Leave() { s.leaving.Store(true) }

// Working returns the number of requests that run here, also for callers at
// other entry hosts.
func (s *Service) Working() int { return int(s.working.Load()) }

// GiveUp ends what still runs; its callers get truthful outcomes.
func (s *Service) GiveUp() { s.stop() }

// Wait waits until no request runs in the background and all outcomes have
// been told to the records' other holders.
func (s *Service) Wait() {
	for s.pending.Load() > 0 {
		_ = s.Clock.Sleep(context.Background(), waitLook)
	}
	s.Keeper.Wait()
}

// later does something in the background; it reports false if too much is
// done there already.
func (s *Service) later(f func()) bool {
	s.pending.Add(1)
	started := s.group.TryGo(func() error {
		defer s.pending.Add(-1)
		f()
		return nil
	})
	if !started {
		s.pending.Add(-1)
	}
	return started
}

// deadline returns the time by which a quick request has to be answered.
func (s *Service) deadline(budget time.Duration) time.Time {
	longest := s.Keeper.Keep() / 2
	if budget <= 0 {
		budget = defaultDeadline
	}
	return s.Clock.Now().Add(min(budget, longest))
}

// allow is asked just before a request leaves for a placer: a key that was
// withdrawn meanwhile stops it, and so does a configuration that has become
// stale.
func (s *Service) allow(sub *submission) func() string {
	return func() string {
		team, reason := s.Config.Check(sub.Key, sub.Request.Queue, sub.Request.Kind)
		if reason == "" && team != sub.Request.Team {
			reason = wire.ReasonKey
		}
		if reason != "" {
			s.counts.stopped.Inc(1)
		}
		return reason
	}
}
