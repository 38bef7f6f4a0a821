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
	maxBody     = 8 << 20 // bytes
	maxConns    = 64
	idleTime    = 30 * time.Second
	readTime    = 10 * time.Second
	callTime    = 10 * time.Second // for what one request does at the platform
	auditTime   = time.Second      // for the record of a request that changes nothing
	waitTime    = 30 * time.Second // longest wait for acceptance, if the request sets none
	maxWaitTime = 26 * time.Hour
	maxSpreads  = 8               // versions on their way to the hosts at a time
	flushTime   = 2 * time.Second // between two tries to write kept records
	denyRate    = 1               // records of refused requests a second
	denyBurst   = 10
	// watchInterval is the time between two looks for a new version.
	watchInterval = 100 * time.Millisecond
)

// Platform is what the door needs of the platform; a *store.Client and a
// *store.Memory are one.
type Platform interface {
	config.AuditPlatform
}

// Door is the operators' door. Its handlers run concurrently.
type Door struct {
	settings  Settings
	platform  Platform
	follower  *config.Follower
	publisher *config.Publisher
	waiter    *config.Waiter
	trail     *audit.Log
	timers    *timer.Service
	settler   config.Settler
	log       *zap.Logger
	registry  metrics.Registry
	counts    counts
	denied    *rate.Limiter
	certs     atomic.Pointer[certs.Loader] // nil for plain HTTP
	listener  atomic.Pointer[net.Listener]
	ctx       context.Context // of Run
	group     errgroup.Group  // spreads versions after their requests were answered
}

// New returns a Door. It doesn't listen before Run.
func New(s Settings, p Platform, f *config.Follower, timers *timer.Service, opts ...Option) *Door {
	d := &Door{
		settings: s, platform: p, follower: f, timers: timers, trail: audit.New(p),
		log: zap.NewNop(), registry: metrics.NewRegistry(),
		denied: rate.NewLimiter(denyRate, denyBurst), ctx: context.Background(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.group.SetLimit(maxSpreads)
	d.counts = newCounts(d.registry)
	d.publisher = config.NewPublisher(p, timers, d.log)
	d.waiter = config.NewWaiter(p, timers, f, d.settler, d.log)
	return d
}

// Listen binds the door's address and reads its certificate. The error is a
// *ListenError. Run does it if it wasn't done.
func (d *Door) Listen() error {
	ln, err := net.Listen("tcp", d.settings.Address)
	if err != nil {
		return &ListenError{Address: d.settings.Address, Err: err}
	}
	if d.settings.Cert != "" {
		loader, err := certs.New("oper", d.settings.Files(), d.timers, certs.WithLog(d.log), certs.WithMetrics(d.registry))
		if err != nil {
			_ = ln.Close()
			return &ListenError{Address: d.settings.Address, Err: err}
		}
		d.certs.Store(loader)
		ln = tls.NewListener(ln, loader.PublicServer())
	}
	d.listener.Store(&ln)
	return nil
}

// Address returns the address that Listen bound.
func (d *Door) Address() string { return (*d.listener.Load()).Addr().String() }

// Run serves until ctx ends, then answers what is under way and returns.
func (d *Door) Run(ctx context.Context) error {
	if d.listener.Load() == nil {
		if err := d.Listen(); err != nil {
			return err
		}
	}
	d.ctx = ctx
	reload, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	if l := d.certs.Load(); l != nil {
		g.Go(func() error { return l.Run(reload) })
	}
	srv := &fasthttp.Server{
		Handler: d.handle, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody, Concurrency: maxConns,
		ReadTimeout: readTime, IdleTimeout: idleTime, CloseOnShutdown: true,
	}
	g.Go(func() error { return d.flush(reload) })
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	err := srv.Serve(*d.listener.Load())
	cancel()
	_ = g.Wait()
	_ = d.group.Wait()
	d.waiter.Close()
	return err
}

// Detail returns what an operator has to know of the door's certificate, or an
// empty text.
func (d *Door) Detail() string {
	if l := d.certs.Load(); l != nil {
		return l.Detail()
	}
	return ""
}
