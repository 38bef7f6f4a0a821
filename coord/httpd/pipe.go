package httpd

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// pipe is the encrypted side of a TLS connection, as the net.Conn that
// crypto/tls asks for. The event loop feeds it; what is written to it is
// collected until flush. During the handshake Read waits for input, afterwards
// it returns an *againError instead.
type pipe struct {
	raw gnet.Conn

	mu      sync.Mutex // guards the fields below
	fed     sync.Cond  // on mu; input has come, or the pipe was closed
	in      []byte
	out     []byte
	waiting bool // Read waits for input
	closed  bool
}

func newPipe(raw gnet.Conn) *pipe {
	p := &pipe{raw: raw, waiting: true}
	p.fed.L = &p.mu
	return p
}

// feed adds a copy of data to the input and returns how much waits.
func (p *pipe) feed(data []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = append(p.in, data...)
	p.fed.Signal()
	return len(p.in)
}

// lend sets the input to what waits and data. It doesn't copy data if nothing
// waits; the caller has to read until there is none left, or close the pipe,
// before data becomes invalid.
func (p *pipe) lend(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.in) == 0 {
		p.in = data
		return
	}
	p.in = append(p.in, data...)
}

// proceed ends the waiting of Read.
func (p *pipe) proceed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = false
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 && !p.closed && p.waiting {
		p.fed.Wait()
	}
	if p.closed {
		return 0, io.EOF
	}
	if len(p.in) == 0 {
		return 0, &againError{}
	}
	n := copy(b, p.in)
	p.in = p.in[n:]
	if len(p.in) == 0 {
		p.in = nil
	}
	return n, nil
}

// Write implements net.Conn. What the handshake writes leaves at once.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	p.out = append(p.out, b...)
	if !p.waiting {
		return len(b), nil
	}
	out := p.out
	p.out = nil
	return len(b), p.raw.AsyncWrite(out, nil)
}

// pending reports whether something was written and not yet flushed.
func (p *pipe) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.out) > 0
}

// flush hands what was written to the event loop, which calls done after it
// has written it. The lock keeps the records in their order.
func (p *pipe) flush(done gnet.AsyncCallback) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.out
	p.out = nil
	return p.raw.AsyncWrite(out, done)
}

// Close implements net.Conn. It wakes Read.
func (p *pipe) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.in, p.out = nil, nil
	p.fed.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return nil }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return nil }

// SetDeadline implements net.Conn. The server's deadlines close the pipe.
func (p *pipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

// againError reports that there is no input yet. crypto/tls goes on after an
// error that is temporary.
type againError struct{}

// Error implements error.
func (*againError) Error() string { return "no input yet" }

// Timeout implements net.Error.
func (*againError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*againError) Temporary() bool { return true }
