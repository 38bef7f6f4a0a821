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
	// defaultLoops is the default number of event loops.
	defaultLoops = 2
	// readBuffer is the size of an event loop's read buffer in bytes.
	readBuffer = 16 << 10
	// sweepPeriod is the interval at which connections past their deadline are
	// closed.
	sweepPeriod = 250 * time.Millisecond
	// stopTimeout limits how long stopping the event loops may take.
	stopTimeout = 5 * time.Second
)

// Handler responds to requests. Serve is called on a separate goroutine for each
// request and may block. It must not use the exchange after it returns.
type Handler interface {
	Serve(x *Exchange)
}

// Server is an HTTP/1.1 server. It implements gnet.EventHandler; the On methods
// are called by gnet only. The other methods may be called concurrently.
type Server struct {
	gnet.BuiltinEventEngine

	clock              *timer.Service
	handler            Handler
	limits             Limits
	loops              int
	logger             *zap.Logger
	registry           metrics.Registry
	counts             *counts
	tls                *tls.Config // nil for plain HTTP
	handlers           errgroup.Group
	handshakes         errgroup.Group // TLS handshakes
	plaintextBufs      sync.Pool      // of *[maxPlaintext]byte, for decrypted input
	engine             gnet.Engine
	booted             chan struct{}
	conns              connSet
	bodyBytes          atomic.Int64 // bytes of accepted request bodies and of input buffered during handshakes
	activeRequests     atomic.Int64 // exchanges that aren't complete
	closeAfterResponse atomic.Bool  // every response closes its connection
	draining           atomic.Bool  // idle connections are closed
	stopOnce           sync.Once
}

// New returns a Server that passes requests to h and uses clock for its
// deadlines. clock must be running while the server does.
func New(clock *timer.Service, h Handler, opts ...Option) *Server {
	s := &Server{
		clock: clock, handler: h, limits: DefaultLimits(), loops: defaultLoops,
		logger: zap.NewNop(), registry: metrics.NewRegistry(), booted: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.counts = newCounts(s.registry)
	s.handlers.SetLimit(s.limits.Requests)
	s.handshakes.SetLimit(s.limits.Handshakes)
	return s
}

// Run listens on address, an IP address with a port, and serves until ctx ends.
// Then the contexts of requests in progress are cancelled, and Run returns
// after their handlers have returned. The error is a *ListenError.
func (s *Server) Run(ctx context.Context, address string) error {
	sweep := s.clock.Every(sweepPeriod, s.closeExpired)
	defer sweep.Stop()
	release := context.AfterFunc(ctx, s.stopLoops)
	defer release()
	err := gnet.Run(s, "tcp://"+address,
		gnet.WithReuseAddr(true),
		gnet.WithNumEventLoop(s.loops),
		gnet.WithReadBufferCap(readBuffer),
		gnet.WithWriteBufferCap(readBuffer),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(s.logger.Sugar()),
	)
	_ = s.handlers.Wait()
	_ = s.handshakes.Wait()
	if err != nil {
		return &ListenError{Address: address, Err: err}
	}
	return nil
}

// Booted returns a channel that is closed once the server accepts connections.
func (s *Server) Booted() <-chan struct{} { return s.booted }

// DisableKeepAlive makes the server send "Connection: close" with every further
// response and then close the connection.
func (s *Server) DisableKeepAlive() { s.closeAfterResponse.Store(true) }

// StartDraining calls DisableKeepAlive and also makes the server close idle
// connections, now and later. It returns at once.
func (s *Server) StartDraining() {
	s.DisableKeepAlive()
	s.draining.Store(true)
}

// Active returns the number of requests that are in handlers.
func (s *Server) Active() int { return int(s.activeRequests.Load()) }

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
	if cn.tls != nil {
		return cn.handleTLSInput(data)
	}
	cn.handleInput(data)
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

// stopLoops stops the event loops. Only the first call has an effect.
func (s *Server) stopLoops() {
	s.stopOnce.Do(func() {
		<-s.booted
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.engine.Stop(ctx)
	})
}

// closeExpired closes connections past their deadline, and idle connections
// while the server is draining.
func (s *Server) closeExpired() {
	now := s.clock.Now().UnixNano()
	draining := s.draining.Load()
	s.counts.conns.Update(int64(s.conns.count()))
	for _, cn := range s.conns.expired(now, draining) {
		if !draining {
			s.counts.expired.Inc(1)
		}
		_ = cn.gnetConn.Close()
	}
}
