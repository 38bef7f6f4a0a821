package dial

import (
	"net"
	"sync"
	"time"
)

// Timeout is the default and the maximum timeout of an attempt to connect.
const Timeout = 2 * time.Second

// Pool opens TCP connections and tracks those that are open by their local
// addresses. It doesn't reuse connections. The zero value is ready to use. All
// methods may be called concurrently.
type Pool struct {
	mu     sync.Mutex          // guards the fields below
	conns  map[string]net.Conn // open connections by local address
	closed bool
}

// Dial connects to address over TCP. A timeout that is not positive or above
// Timeout is replaced by Timeout. The error is an *Error, also after Close.
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
	if p.conns == nil {
		p.conns = make(map[string]net.Conn)
	}
	local := c.LocalAddr().String()
	p.conns[local] = c
	return &conn{Conn: c, pool: p, local: local}, nil
}

// Cut closes the open connection with that local address, if there is one.
func (p *Pool) Cut(local string) {
	p.mu.Lock()
	c := p.conns[local]
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Close closes all open connections. Later calls of Dial fail.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := make([]net.Conn, 0, len(p.conns))
	for _, c := range p.conns {
		conns = append(conns, c)
	}
	p.closed = true
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// conn is a connection tracked by a Pool.
type conn struct {
	net.Conn
	pool  *Pool
	local string
}

// Close implements net.Conn. It also removes the connection from its Pool.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	if c.pool.conns[c.local] == c.Conn {
		delete(c.pool.conns, c.local)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}
