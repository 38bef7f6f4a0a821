package front

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/owner"
	"github.com/balsamford/balsamford/platform"
)

const (
	jsonType = "application/json"
	// retryAfter is what refused clients are told to wait while the store is
	// away; other hosts may reach it.
	retryAfter = time.Second
)

// Configs tells the configuration in force.
type Configs interface {
	// Config returns the newest configuration, nil if there is none yet.
	Config() *model.Config
}

// Health tells whether the store answers.
type Health interface {
	// Failing reports whether calls to the store fail at present.
	Failing() bool
}

// Cell is the owner of the cell, wherever it is.
type Cell interface {
	// Submitted and Cancelled tell it what has been stored. They don't wait.
	Submitted(j *model.Job)
	Cancelled(id string)
	// Keep has its host create rows unless the first of them is there, and tells it
	// what they say.
	Keep(id string, puts []platform.Put) owner.Kept
	// State asks it for a job, and returns false if it can't be asked or doesn't
	// know the job.
	State(id string) (owner.State, bool)
}

// Service answers clients. It implements httpd.Handler.
type Service struct {
	clock   *timer.Service
	configs Configs
	board   *board.Board
	store   Store
	health  Health
	cell    Cell
	writers map[string]*writer // by partition
	logger  *zap.Logger
	counts  *counts
}

// New returns a Service. Run has to run for submissions to be stored.
func New(clock *timer.Service, configs Configs, b *board.Board, store Store, health Health, cell Cell, logger *zap.Logger, registry metrics.Registry) *Service {
	s := &Service{
		clock: clock, configs: configs, board: b, store: store, health: health, cell: cell, writers: make(map[string]*writer), logger: logger,
		counts: newCounts(registry),
	}
	for _, part := range board.JobParts() {
		s.writers[part] = newWriter(store, logger)
	}
	return s
}

// Run stores what is submitted until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range s.writers {
		g.Go(func() error { return w.run(ctx) })
	}
	return g.Wait()
}

// request is a client's request that has passed the checks.
type request struct {
	exchange *httpd.Exchange
	queue    model.Queue
	team     string // empty without a key
	id       string // of a job; empty for the queue itself
	version  int64  // of the configuration that it was checked against
}

// Serve implements httpd.Handler.
func (s *Service) Serve(x *httpd.Exchange) {
	r, ok := s.admit(x)
	if !ok {
		return
	}
	method := string(x.Request().Header.Method())
	began := s.clock.Now()
	switch {
	case method == fasthttp.MethodGet && r.id == "":
		s.pending(r)
	case r.id == "" || !platform.ValidJobID(r.id):
		s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job's ID")
	case method == fasthttp.MethodPost:
		s.submit(r)
		s.counts.submits.Note(s.clock.Now().Sub(began))
	case method == fasthttp.MethodGet:
		s.state(r)
		s.counts.states.Note(s.clock.Now().Sub(began))
	case method == fasthttp.MethodDelete:
		s.cancel(r)
		s.counts.submits.Note(s.clock.Now().Sub(began))
	default:
		s.answer(x, fasthttp.StatusMethodNotAllowed, "use POST, GET or DELETE")
	}
}

// admit finds a request's queue and checks its key. It has answered if it
// returns false.
func (s *Service) admit(x *httpd.Exchange) (*request, bool) {
	config := s.configs.Config()
	if config == nil {
		s.unavailable(x, "no configuration yet")
		return nil, false
	}
	req := x.Request()
	path := string(req.URI().Path())
	queue, ok := config.Route(hostname(string(req.Host())), path)
	if !ok {
		s.answer(x, fasthttp.StatusNotFound, "no such queue")
		return nil, false
	}
	key, _ := strings.CutPrefix(string(req.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	team, known := config.TeamOf(key)
	if !known && !queue.Open {
		s.logger.Info("key refused", zap.String("path", path), zap.Int64("version", config.Version))
		s.answer(x, fasthttp.StatusUnauthorized, "unknown key")
		return nil, false
	}
	return &request{exchange: x, queue: queue, team: team, id: strings.Trim(path[len(queue.Prefix):], "/"), version: config.Version}, true
}

// hostname returns the name in a Host header.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// answer gives a short answer.
func (s *Service) answer(x *httpd.Exchange, code int, text string) {
	s.counts.refused.Inc(1)
	x.Answer(code, jsonType, []byte(`{"error":"`+text+`"}`))
}

// unavailable refuses a request that has not been carried out and never will be.
func (s *Service) unavailable(x *httpd.Exchange, text string) {
	x.Header().Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retryAfter/time.Second)))
	x.CloseAfter() // The balancer may lead the next try to another host.
	s.answer(x, fasthttp.StatusServiceUnavailable, text)
}
