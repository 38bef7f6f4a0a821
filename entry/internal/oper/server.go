package oper

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/timer"
)

const (
	maxBodyBytes       = 8 << 20
	maxConns           = 64
	idleTimeout        = 30 * time.Second
	readTimeout        = 10 * time.Second
	callTimeout        = 10 * time.Second // for the platform calls of one request
	auditTimeout       = time.Second      // for writing the audit record of a read-only request
	defaultWait        = 30 * time.Second // wait for acceptance, if the request sets no limit
	maxWait            = 26 * time.Hour
	maxBackgroundWaits = 8               // versions being distributed at a time
	flushInterval      = 2 * time.Second // between two attempts to write the audit backlog
	deniesPerSecond    = 1               // audit records of denied requests per second
	denyBurst          = 10
	// watchInterval is how often a watch polls for a new version.
	watchInterval = 100 * time.Millisecond
)

// Platform is the part of the platform that the Server uses. *store.Client and
// *store.Memory implement it.
type Platform interface {
	config.AuditPlatform
}

// Server is the HTTP server of the operator API. Its handlers run concurrently.
type Server struct {
	settings    Settings
	platform    Platform
	follower    *config.Follower
	publisher   *config.Publisher
	waiter      *config.Waiter
	trail       *audit.Log
	clock       *timer.Service
	settler     config.Settler
	log         *zap.Logger
	registry    metrics.Registry
	counts      counts
	denyLimiter *rate.Limiter
	certs       atomic.Pointer[certs.Loader] // nil for plain HTTP
	listener    atomic.Pointer[net.Listener]
	ctx         context.Context // context of Run
	background  errgroup.Group  // goroutines of awaitInBackground
}

// New returns a Server. It doesn't listen before Listen or Run is called.
func New(s Settings, p Platform, f *config.Follower, clock *timer.Service, opts ...Option) *Server {
	srv := &Server{
		settings: s, platform: p, follower: f, clock: clock, trail: audit.New(p),
		log: zap.NewNop(), registry: metrics.NewRegistry(),
		denyLimiter: rate.NewLimiter(deniesPerSecond, denyBurst), ctx: context.Background(),
	}
	for _, opt := range opts {
		opt(srv)
	}
	srv.background.SetLimit(maxBackgroundWaits)
	srv.counts = newCounts(srv.registry)
	srv.publisher = config.NewPublisher(p, clock, srv.log)
	srv.waiter = config.NewWaiter(p, clock, f, srv.settler, srv.log)
	return srv
}

// Listen binds the server's address and loads its certificate. The error is a
// *ListenError. Run calls Listen if it wasn't called before.
func (s *Server) Listen() error {
	ln, err := net.Listen("tcp", s.settings.Address)
	if err != nil {
		return &ListenError{Address: s.settings.Address, Err: err}
	}
	if s.settings.Cert != "" {
		loader, err := certs.New("oper", s.settings.Files(), s.clock, certs.WithLog(s.log), certs.WithMetrics(s.registry))
		if err != nil {
			_ = ln.Close()
			return &ListenError{Address: s.settings.Address, Err: err}
		}
		s.certs.Store(loader)
		ln = tls.NewListener(ln, loader.PublicServer())
	}
	s.listener.Store(&ln)
	return nil
}

// Address returns the address that Listen has bound.
func (s *Server) Address() string { return (*s.listener.Load()).Addr().String() }

// Run serves requests until ctx ends, finishes the requests in progress, and
// returns.
func (s *Server) Run(ctx context.Context) error {
	if s.listener.Load() == nil {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	s.ctx = ctx
	reload, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	if l := s.certs.Load(); l != nil {
		g.Go(func() error { return l.Run(reload) })
	}
	httpServer := &fasthttp.Server{
		Handler: s.handle, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, Concurrency: maxConns,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, CloseOnShutdown: true,
	}
	g.Go(func() error { return s.flush(reload) })
	stop := context.AfterFunc(ctx, func() { _ = httpServer.Shutdown() })
	defer stop()
	err := httpServer.Serve(*s.listener.Load())
	cancel()
	_ = g.Wait()
	_ = s.background.Wait()
	s.waiter.Close()
	return err
}

// Detail describes a problem with the server's certificate, or returns an empty
// string.
func (s *Server) Detail() string {
	if l := s.certs.Load(); l != nil {
		return l.Detail()
	}
	return ""
}
