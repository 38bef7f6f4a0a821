package front

import (
	"context"
	"encoding/json"
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
	// retryAfter is the Retry-After of refused requests while this host can't reach the
	// store. It is short since other hosts may reach it.
	retryAfter = time.Second
)

// Configs returns the configuration in force.
type Configs interface {
	// Config returns the newest configuration, nil if there is none yet.
	Config() *model.Config
}

// Health reports whether the store answers.
type Health interface {
	// Failing reports whether calls to the store currently fail.
	Failing() bool
}

// OwnerClient calls the owner of the cell, on this host or another.
type OwnerClient interface {
	// Submitted and Cancelled notify the owner of a stored submission or cancellation.
	// They don't block.
	Submitted(j *model.Job)
	Cancelled(id string)
	// CreateRows has the owner's host create rows, unless the first one exists already. The
	// owner takes note of the rows.
	CreateRows(id string, puts []platform.Put) owner.CreateOutcome
	// State returns the state of a job from the owner, and false if the owner can't be
	// reached or doesn't know the job.
	State(id string) (owner.JobState, bool)
}

// Service serves the clients' requests. It implements httpd.Handler.
type Service struct {
	clock       *timer.Service
	configs     Configs
	board       *board.Board
	store       Store
	health      Health
	ownerClient OwnerClient
	writers     map[string]*writer // by partition
	logger      *zap.Logger
	counts      *counts
	admission   *admission
	rowSize     func() int // largest size of a row, in bytes
}

// Option configures a Service that New returns.
type Option func(*Service)

// WithRowSize sets a function that returns the largest size of a row of the store, in bytes. The
// default returns platform.DefaultRowSize.
func WithRowSize(f func() int) Option { return func(s *Service) { s.rowSize = f } }

// New returns a Service. Submissions and cancellations are stored only while Run runs.
func New(clock *timer.Service, configs Configs, b *board.Board, store Store, health Health, ownerClient OwnerClient, logger *zap.Logger, registry metrics.Registry, opts ...Option) *Service {
	s := &Service{
		clock: clock, configs: configs, board: b, store: store, health: health, ownerClient: ownerClient, writers: make(map[string]*writer), logger: logger,
		counts: newCounts(registry), admission: newAdmission(registry), rowSize: func() int { return platform.DefaultRowSize },
	}
	for _, opt := range opts {
		opt(s)
	}
	for _, part := range board.JobParts() {
		s.writers[part] = newWriter(store, logger)
	}
	return s
}

// Run stores submissions and cancellations until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range s.writers {
		g.Go(func() error { return w.run(ctx) })
	}
	return g.Wait()
}

// request is a client's request that authorize has accepted.
type request struct {
	exchange *httpd.Exchange
	queue    model.Queue
	team     string       // empty if the key is missing or unknown, in an open queue
	limit    model.Amount // of the team
	id       string       // of a job; empty for the queue itself
	version  int64        // of the configuration that authorize used
}

// Serve implements httpd.Handler. A request that makes it panic is answered like one whose
// outcome is unknown.
func (s *Service) Serve(x *httpd.Exchange) {
	defer func() {
		if cause := recover(); cause != nil {
			s.logger.Error("request panicked", zap.ByteString("path", x.Request().URI().Path()), zap.Any("cause", cause), zap.Stack("stack"))
			s.reject(x, fasthttp.StatusGatewayTimeout, "not known whether it was stored")
		}
	}()
	r, ok := s.authorize(x)
	if !ok {
		return
	}
	method := string(x.Request().Header.Method())
	began := s.clock.Now()
	switch {
	case method == fasthttp.MethodGet && r.id == "":
		s.pending(r)
	case r.id == "" || !platform.ValidJobID(r.id):
		s.reject(r.exchange, fasthttp.StatusBadRequest, "not a job's ID")
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
		s.reject(x, fasthttp.StatusMethodNotAllowed, "use POST, GET or DELETE")
	}
}

// authorize finds the queue of a request and checks its API key. If it returns false, it
// has answered the request.
func (s *Service) authorize(x *httpd.Exchange) (*request, bool) {
	config := s.configs.Config()
	if config == nil {
		s.unavailable(x, "no configuration yet")
		return nil, false
	}
	req := x.Request()
	path := string(req.URI().Path())
	queue, ok := config.Route(hostname(string(req.Host())), path)
	if !ok {
		s.reject(x, fasthttp.StatusNotFound, "no such queue")
		return nil, false
	}
	key, _ := strings.CutPrefix(string(req.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	team, known := config.TeamOf(key)
	if !known && !queue.Open {
		s.logger.Info("key refused", zap.String("path", path), zap.Int64("version", config.Version))
		s.reject(x, fasthttp.StatusUnauthorized, "unknown key")
		return nil, false
	}
	return &request{exchange: x, queue: queue, team: team, limit: config.Teams[team].Limit, id: strings.Trim(path[len(queue.Prefix):], "/"), version: config.Version}, true
}

// hostname returns the value of a Host header without the port.
func hostname(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// reject answers a request with an error, and counts it as refused.
func (s *Service) reject(x *httpd.Exchange, code int, text string) {
	s.counts.refused.Inc(1)
	body, err := json.Marshal(struct {
		Error string `json:"error"`
	}{text})
	if err != nil {
		body = nil // Unreachable: encoding a struct with one string can't fail.
	}
	x.Answer(code, jsonType, body)
}

// unavailable rejects a request with 503. The request must not have had an effect, nor get
// one later.
func (s *Service) unavailable(x *httpd.Exchange, text string) {
	x.Header().Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(retryAfter/time.Second)))
	x.CloseAfter() // The balancer may send the next attempt to another host.
	s.reject(x, fasthttp.StatusServiceUnavailable, text)
}
