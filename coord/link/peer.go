package link

import (
	"context"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// peer is the connection to one address; it is opened when needed.
type peer struct {
	address string

	mu   sync.Mutex // held while dialling, so that one connection is made
	conn *quic.Conn
}

// connect returns the live connection, or dials a new one.
func (p *peer) connect(ctx context.Context, n *Node) (*quic.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, err
	}
	conn, err := n.transport.Dial(ctx, udp, n.tls.Client(), n.config())
	if err != nil {
		return nil, err
	}
	p.conn = conn
	return conn, nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		_ = p.conn.CloseWithError(0, "")
	}
}
