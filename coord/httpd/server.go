package httpd

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	defaultLoops = 2
	// readBuffer is the size of an event loop's read buffer in bytes.
	readBuffer = 16 << 10
	// sweepPeriod is how often deadlines of connections are looked at.
	sweepPeriod = 250 * time.Millisecond
	// stopTime bounds how long closing the event loops may take.
	stopTime = 5 * time.Second
)

// Handler answers requests. Serve is called on a goroutine of its own and may
// block; the exchange must not be used after it has returned.
type Handler interface {
	Serve(x *Exchange)
}

// Server accepts connections and reads requests from them. It is the event
// handler of a gnet engine.
type Server struct {
	gnet.BuiltinEventEngine

	clock    *timer.Service
	handler  Handler
	limits   Limits
	loops    int
	logger   *zap.Logger
	registry metrics.Registry
	counts   *counts
	tls      *tls.Config // nil for plain HTTP
	group    errgroup.Group
	shakes   errgroup.Group // TLS handshakes
	plain    sync.Pool      // of *[plainSize]byte, for decrypted input
	engine   gnet.Engine
	booted   chan struct{}
	conns    connSet
	buffered atomic.Int64 // bytes of bodies that have been let in
	active   atomic.Int64 // exchanges not yet ended
	parting  atomic.Bool  // answers close their connections
	leaving  atomic.Bool  // idle connections are closed too
	stop     sync.Once
}

// New returns a Server that gives requests to h and takes time from clock.
func New(clock *timer.Service, h Handler, opts ...Option) *Server {
	s := &Server{
		clock: clock, handler: h, limits: DefaultLimits(), loops: defaultLoops,
		logger: zap.NewNop(), registry: metrics.NewRegistry(), booted: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.counts = newCounts(s.registry)
	s.group.SetLimit(s.limits.Requests)
	s.shakes.SetLimit(s.limits.Shakes)
	return s
}

// Run serves on address, an IP number with a port, until ctx ends. Requests
// that are still in handlers then see their context end; Run returns after
// the handlers have.
func (s *Server) Run(ctx context.Context, address string) error {
	sweep := s.clock.Every(sweepPeriod, s.sweep)
	defer sweep.Stop()
	release := context.AfterFunc(ctx, s.halt)
	defer release()
	err := gnet.Run(s, "tcp://"+address,
		gnet.WithReuseAddr(true),
		gnet.WithNumEventLoop(s.loops),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(readBuffer),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(s.logger.Sugar()),
	)
	_ = s.group.Wait()
	_ = s.shakes.Wait()
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	return nil
}

// Booted is closed once the server accepts connections.
func (s *Server) Booted() <-chan struct{} { return s.booted }

// Part asks callers to go with the answer to their next request.
func (s *Server) Part() { s.parting.Store(true) }

// Leave asks callers to go: every later answer closes its connection, and
// idle connections are closed.
func (s *Server) Leave() {
	s.Part()
	s.leaving.Store(true)
}

// Active returns the number of requests in handlers.
func (s *Server) Active() int { return int(s.active.Load()) }

// OnBoot implements gnet.EventHandler.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	close(s.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler.
func (s *Server) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	cn := newConn(s, raw)
	raw.SetContext(cn)
	if s.conns.add(cn) > s.limits.Conns {
		s.counts.refused.Inc(1)
		if s.tls != nil {
			return nil, gnet.Close
		}
		return refusal(statusUnavailable, "busy", "too many connections"), gnet.Close
	}
	return nil, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (s *Server) OnTraffic(raw gnet.Conn) gnet.Action {
	cn, ok := raw.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	data, err := raw.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if cn.secure != nil {
		return cn.receive(data)
	}
	cn.feed(data)
	return gnet.None
}

// OnClose implements gnet.EventHandler.
func (s *Server) OnClose(raw gnet.Conn, _ error) gnet.Action {
	if cn, ok := raw.Context().(*conn); ok {
		s.conns.remove(cn)
		cn.release()
	}
	return gnet.None
}

// halt closes the event loops once.
func (s *Server) halt() {
	s.stop.Do(func() {
		<-s.booted
		ctx, cancel := context.WithTimeout(context.Background(), stopTime)
		defer cancel()
		_ = s.engine.Stop(ctx)
	})
}

// sweep closes connections that are past their deadline.
func (s *Server) sweep() {
	now := s.clock.Now().UnixNano()
	leaving := s.leaving.Load()
	s.counts.conns.Update(int64(s.conns.count()))
	for _, cn := range s.conns.due(now, leaving) {
		if !leaving {
			s.counts.late.Inc(1)
		}
		_ = cn.raw.Close()
	}
}
