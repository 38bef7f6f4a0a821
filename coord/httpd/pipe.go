package httpd

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// pipe is the net.Conn that carries the encrypted side of a TLS connection for
// crypto/tls. The event loop appends received bytes. During the handshake, Read
// blocks for input and Write sends at once. Afterwards Read returns a
// *wouldBlockError if there is no input, and Write buffers its output until flush.
type pipe struct {
	gnetConn gnet.Conn

	mu         sync.Mutex // guards the fields below
	inputReady sync.Cond  // uses mu; input was added or the pipe was closed
	in         []byte
	out        []byte
	blocking   bool // Read blocks for input and Write sends at once
	closed     bool
}

func newPipe(raw gnet.Conn) *pipe {
	p := &pipe{gnetConn: raw, blocking: true}
	p.inputReady.L = &p.mu
	return p
}

// appendInput appends a copy of data to the input and returns the number of
// unread bytes.
func (p *pipe) appendInput(data []byte) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.in = append(p.in, data...)
	p.inputReady.Signal()
	return len(p.in)
}

// borrowInput appends data to the input, without a copy if there is no unread
// input. The caller must read all input, or close the pipe, before data becomes
// invalid.
func (p *pipe) borrowInput(data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.in) == 0 {
		p.in = data
		return
	}
	p.in = append(p.in, data...)
}

// stopBlocking makes Read return a *wouldBlockError when there is no input, and
// Write buffer its output. It is called after the handshake.
func (p *pipe) stopBlocking() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocking = false
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.in) == 0 && !p.closed && p.blocking {
		p.inputReady.Wait()
	}
	if p.closed {
		return 0, io.EOF
	}
	if len(p.in) == 0 {
		return 0, &wouldBlockError{}
	}
	n := copy(b, p.in)
	p.in = p.in[n:]
	if len(p.in) == 0 {
		p.in = nil
	}
	return n, nil
}

// Write implements net.Conn. Output of the handshake is sent at once.
func (p *pipe) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	p.out = append(p.out, b...)
	if !p.blocking {
		return len(b), nil
	}
	out := p.out
	p.out = nil
	return len(b), p.gnetConn.AsyncWrite(out, nil)
}

// pending reports whether there is output that hasn't been flushed.
func (p *pipe) pending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.out) > 0
}

// flush passes the buffered output to the event loop, which calls done after
// writing it. Holding the lock keeps TLS records in order.
func (p *pipe) flush(done gnet.AsyncCallback) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.out
	p.out = nil
	return p.gnetConn.AsyncWrite(out, done)
}

// Close implements net.Conn. It unblocks Read.
func (p *pipe) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.in, p.out = nil, nil
	p.inputReady.Broadcast()
	return nil
}

// LocalAddr implements net.Conn.
func (p *pipe) LocalAddr() net.Addr { return nil }

// RemoteAddr implements net.Conn.
func (p *pipe) RemoteAddr() net.Addr { return nil }

// SetDeadline implements net.Conn. It does nothing, because the server closes
// the pipe when the connection's deadline passes.
func (p *pipe) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (p *pipe) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (p *pipe) SetWriteDeadline(time.Time) error { return nil }

// wouldBlockError reports that there is no input yet. It is temporary, so that
// crypto/tls can continue to read later.
type wouldBlockError struct{}

// Error implements error.
func (*wouldBlockError) Error() string { return "no input yet" }

// Timeout implements net.Error.
func (*wouldBlockError) Timeout() bool { return true }

// Temporary implements net.Error.
func (*wouldBlockError) Temporary() bool { return true }
