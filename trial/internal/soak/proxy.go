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

// Mode is how a proxy treats its connections.
type Mode int

// The modes.
const (
	Pass    Mode = iota
	Delay        // each piece of data is held up
	Reset        // connections are reset, new ones too
	Silence      // nothing passes either way; connections stay open
	OneWay       // requests pass and answers don't
)

// delayTime is how long data is held up by Delay.
const delayTime = 120 * time.Millisecond

// String returns the mode's name.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "silence", "one way"}[m]
}

// Proxy passes TCP connections on to a target, and harms them as it is told.
type Proxy struct {
	target   string
	listener net.Listener
	group    errgroup.Group

	mu      sync.Mutex // guards the fields below
	mode    Mode
	changed chan struct{} // closed when mode changes
	conns   map[net.Conn]bool
}

// NewProxy returns a Proxy to target that listens on a free port of the loopback.
func NewProxy(target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns where it listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode, also of open connections.
func (p *Proxy) Set(m Mode) {
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

// Close ends it and its connections.
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
	_ = p.group.Wait() // Its members end with the connections.
}

func (p *Proxy) accept() error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return nil //nolint:nilerr // The listener is closed.
		}
		p.group.Go(func() error { p.serve(conn); return nil })
	}
}

// serve passes one connection on.
func (p *Proxy) serve(client net.Conn) {
	if m, _ := p.now(); m == Reset {
		reset(client)
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.add(client, server)
	var g errgroup.Group
	g.Go(func() error { p.copy(server, client, false); return nil })
	g.Go(func() error { p.copy(client, server, true); return nil })
	_ = g.Wait() // It never fails.
	p.remove(client, server)
}

// copy passes data on in one direction until either side is closed.
func (p *Proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.hold(answers) {
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

// hold waits as long as the mode asks for, and reports whether data may pass.
func (p *Proxy) hold(answers bool) bool {
	for {
		m, changed := p.now()
		switch {
		case m == Delay:
			time.Sleep(delayTime)
			return true
		case m == Silence, m == OneWay && answers:
			<-changed
			return false // What was cut off is lost.
		default:
			return true
		}
	}
}

func (p *Proxy) now() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) add(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *Proxy) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
