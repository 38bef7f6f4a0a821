package dial

import (
	"net"
	"sync"
	"time"
)

// Timeout bounds attempts to connect for which the caller gives no bound.
const Timeout = 2 * time.Second

// Pool knows the open connections that it made, by their local addresses.
// Its zero value is ready; all methods may be called concurrently.
type Pool struct {
	mu     sync.Mutex // guards the fields below
	open   map[string]net.Conn
	closed bool
}

// Dial connects to address over TCP. The error is an *Error.
func (p *Pool) Dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > Timeout {
		timeout = Timeout
	}
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &Error{Address: address, Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return nil, &Error{Address: address, Err: net.ErrClosed}
	}
	if p.open == nil {
		p.open = make(map[string]net.Conn)
	}
	local := c.LocalAddr().String()
	p.open[local] = c
	return &conn{Conn: c, pool: p, local: local}, nil
}

// Cut closes the connection with that local address.
func (p *Pool) Cut(local string) {
	p.mu.Lock()
	c := p.open[local]
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all connections; none can be made any more.
func (p *Pool) Close() {
	p.mu.Lock()
	open := make([]net.Conn, 0, len(p.open))
	for _, c := range p.open {
		open = append(open, c)
	}
	p.closed = true
	p.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// conn is a connection that its Pool knows.
type conn struct {
	net.Conn
	pool  *Pool
	local string
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if c.pool.open[c.local] == c.Conn {
		delete(c.pool.open, c.local)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}
