package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Mode says how a Proxy treats its connections.
type Mode int

// The modes of a Proxy.
const (
	Pass          Mode = iota // forward all data
	Delay                     // delay each chunk of data
	Reset                     // reset open and new connections
	Blackhole                 // drop all data but keep connections open
	DropResponses             // forward requests and drop responses
	Stall                     // keep all data and forward it later, also that of callers who have given up
)

// delay is by how much Delay delays each chunk of data.
const delay = 120 * time.Millisecond

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "silence", "one way", "stall"}[m]
}

// Proxy forwards TCP connections to a target and injects faults according to its
// mode. It may be used concurrently.
type Proxy struct {
	target   string // address
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex // guards the fields below
	mode    Mode
	changed chan struct{}     // closed when mode changes
	conns   map[net.Conn]bool // open connections of both sides
}

// NewProxy returns a Proxy to target in mode Pass that listens on a free port of the
// loopback.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address at which the Proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != Reset {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.mode = Pass
	p.mu.Unlock()
	_ = p.group.Wait() // Its goroutines return no errors.
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener is closed.
		}
		p.group.Go(func() error { p.serve(conn); return nil })
	}
}

// serve forwards one connection.
func (p *Proxy) serve(client net.Conn) {
	if m, _ := p.current(); m == Reset {
		reset(client)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.track(client, server)
	var g errgroup.Group
	g.Go(func() error { p.forward(server, client, false); return nil })
	g.Go(func() error { p.forward(client, server, true); return nil })
	_ = g.Wait() // Its goroutines return no errors.
	p.untrack(client, server)
}

// forward copies data in one direction until either connection is closed. responses
// tells whether the direction is from the target to the client.
func (p *Proxy) forward(to, from net.Conn, responses bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.awaitForward(responses) {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				return
			}
			return
		}
	}
}

// awaitForward delays data according to the mode and reports whether to forward it.
// In a mode that drops it, awaitForward returns when the mode changes.
func (p *Proxy) awaitForward(responses bool) bool {
	for {
		m, changed := p.current()
		switch {
		case m == Delay:
			time.Sleep(delay)
			return true
		case m == Stall:
			<-changed
		case m == Blackhole, m == DropResponses && responses:
			<-changed
			return false // Data received before the change is lost.
		default:
			return true
		}
	}
}

// current returns the mode and a channel that is closed when it changes.
func (p *Proxy) current() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// track adds open connections.
func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// untrack removes closed connections.
func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset closes a connection with a TCP reset instead of an orderly close.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
