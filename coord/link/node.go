package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	defaultIdle         = 3 * time.Second
	defaultStreamWindow = 256 << 10 // bytes
	defaultConnWindow   = 4 << 20   // bytes
	initialStreamWindow = 64 << 10  // bytes, unless the maximum is less
	initialConnWindow   = 128 << 10 // bytes, unless the maximum is less
	maxStreams          = 1 << 16   // open incoming streams of one connection
	keepalives          = 2         // sent in each idle time
)

// Node serves the calls of other processes and calls them, over one UDP socket. After Listen, its methods may be called concurrently.
type Node struct {
	name         string
	tls          TLS
	gate         Gate
	idle         time.Duration
	streamWindow uint64
	connWindow   uint64
	reset        *quic.StatelessResetKey // nil for none
	logger       *zap.Logger
	handlers     map[string]Handler
	transport    *quic.Transport
	listener     *quic.Listener

	mu    sync.Mutex // guards peers
	peers map[string]*peer
}

// TLS provides the TLS configurations of a Node.
type TLS interface {
	// Server returns the configuration for incoming connections. Listen calls
	// it once, so replaceable certificates need its GetConfigForClient.
	Server() *tls.Config
	// Client returns the configuration for one outgoing connection.
	Client() *tls.Config
}

// New returns a Node whose name is sent to the peers that it calls. All
// handlers have to be set before Listen.
func New(name string, t TLS, opts ...Option) *Node {
	n := &Node{
		name: name, tls: t, gate: openGate{}, idle: defaultIdle,
		streamWindow: defaultStreamWindow, connWindow: defaultConnWindow,
		logger: zap.NewNop(), handlers: make(map[string]Handler), peers: make(map[string]*peer),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// Handle sets the handler of a verb. It must not be called after Listen.
func (n *Node) Handle(verb string, h Handler) { n.handlers[verb] = h }

// Listen binds the node's UDP address, an IP address with a port. It has to be
// called before any other method that uses the network. The error is a
// *DialError.
func (n *Node) Listen(address string) error {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return &DialError{Address: address, Err: err}
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return &DialError{Address: address, Err: err}
	}
	n.transport = &quic.Transport{Conn: conn, StatelessResetKey: n.reset}
	n.listener, err = n.transport.Listen(n.tls.Server(), n.config())
	if err != nil {
		return &DialError{Address: address, Err: errors.Join(err, conn.Close())}
	}
	return nil
}

// Address returns the address that Listen bound.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Run serves calls until ctx ends, then waits for the handlers to return and
// closes all connections and the socket. It returns the errors of closing.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			break
		}
		g.Go(func() error { n.serveConn(ctx, conn); return nil })
	}
	err := g.Wait()
	return errors.Join(err, n.close())
}

// Open opens a stream to the handler of verb at address. The error is a
// *DialError, which means that no handler has been called.
func (n *Node) Open(ctx context.Context, address, verb string) (*Stream, error) {
	if !n.gate.Open(address) {
		return nil, &DialError{Address: address, Err: &CutError{Address: address}}
	}
	p := n.peer(address)
	conn, err := p.connect(ctx, n)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	s := &Stream{quic: qs, from: n.name, verb: verb}
	if err := s.write(hello{Verb: verb, From: n.name}); err != nil {
		s.Cancel()
		return nil, &DialError{Address: address, Err: err}
	}
	return s, nil
}

// Call sends the message in to the handler of verb at address and receives one
// message into out. A *DialError means that nothing was sent. After any other
// error the handler may have been called; a *RemoteError is the handler's own.
func (n *Node) Call(ctx context.Context, address, verb string, in, out any) error {
	s, err := n.Open(ctx, address, verb)
	if err != nil {
		return err
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	sendErr := s.Send(in)
	if sendErr == nil {
		_ = s.CloseSend()
	}
	// A handler that returns without reading makes Send fail, but its error can
	// still be received.
	recvErr := s.Recv(out)
	var remote *RemoteError
	if sendErr != nil && !errors.As(recvErr, &remote) {
		return sendErr
	}
	return recvErr
}

func (n *Node) peer(address string) *peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[address]
	if p == nil {
		p = newPeer(address)
		n.peers[address] = p
	}
	return p
}

func (n *Node) config() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           n.idle,
		MaxIdleTimeout:                 n.idle,
		KeepAlivePeriod:                n.idle / keepalives,
		InitialStreamReceiveWindow:     min(n.streamWindow, initialStreamWindow),
		MaxStreamReceiveWindow:         n.streamWindow,
		InitialConnectionReceiveWindow: min(n.connWindow, initialConnWindow),
		MaxConnectionReceiveWindow:     n.connWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
	}
}

func (n *Node) close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		p.close()
	}
	return errors.Join(n.listener.Close(), n.transport.Close(), n.transport.Conn.Close())
}

// serveConn serves the streams of one connection until it is lost or ctx ends.
func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	var g errgroup.Group
	for {
		qs, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		g.Go(func() error { n.serveStream(ctx, conn, qs); return nil })
	}
	_ = g.Wait()
	_ = conn.CloseWithError(0, "")
}

// callHandler calls a handler. One that panics, as on a malformed message, fails its stream
// alone; the error is a *PanicError then.
func callHandler(ctx context.Context, h Handler, s *Stream) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &PanicError{Verb: s.verb, Cause: cause, Stack: debug.Stack()}
		}
	}()
	return h.Handle(ctx, s)
}

// serveStream reads the verb of a new stream and calls its handler.
func (n *Node) serveStream(ctx context.Context, conn *quic.Conn, qs *quic.Stream) {
	s := &Stream{quic: qs}
	defer func() { s.quic.CancelRead(cancelCode) }()
	var h hello
	_ = qs.SetReadDeadline(time.Now().Add(n.idle))
	if err := s.read(&h); err != nil {
		s.Cancel()
		return
	}
	_ = qs.SetReadDeadline(time.Time{})
	s.from, s.verb = h.From, h.Verb
	if !n.gate.Open(conn.RemoteAddr().String()) || !n.gate.Open(h.From) {
		s.Cancel()
		return
	}
	handler := n.handlers[h.Verb]
	if handler == nil {
		_ = s.Fail("verb", "unknown verb "+h.Verb)
		_ = s.CloseSend()
		return
	}
	connCtx, cancel := context.WithCancel(conn.Context())
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	if err := callHandler(connCtx, handler, s); err != nil {
		var panicked *PanicError
		if errors.As(err, &panicked) {
			n.logger.Error("handler panicked", zap.String("verb", s.verb), zap.String("from", s.from), zap.Any("cause", panicked.Cause), zap.ByteString("stack", panicked.Stack))
		}
		var remote *RemoteError
		if !errors.As(err, &remote) {
			remote = &RemoteError{Code: "error", Text: err.Error()}
		}
		_ = s.Fail(remote.Code, remote.Text)
	}
	_ = s.CloseSend()
}
