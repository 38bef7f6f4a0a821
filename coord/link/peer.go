package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// slowDial is how long a dial that its caller gave up has to have taken to
// count as a failure of the peer.
const slowDial = 500 * time.Millisecond

// peer is the connection to one address; it is opened when needed. One caller
// dials at a time. While the latest dial has failed the others don't wait for
// the next one, so that a dead peer costs one caller its time and not all.
type peer struct {
	address string
	turn    chan struct{} // holds a token while somebody dials

	mu    sync.Mutex // guards state
	state peerState
}

// peerState is what is known of a peer.
type peerState struct {
	conn   *quic.Conn
	failed error // of the latest dial, nil after a success
}

func newPeer(address string) *peer {
	return &peer{address: address, turn: make(chan struct{}, 1)}
}

// look returns the state.
func (p *peer) look() peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

func (p *peer) set(s peerState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

func (s peerState) live() bool { return s.conn != nil && s.conn.Context().Err() == nil }

// connect returns the live connection, or dials a new one.
func (p *peer) connect(ctx context.Context, n *Node) (*quic.Conn, error) {
	s := p.look()
	if s.live() {
		return s.conn, nil
	}
	if s.failed != nil {
		select {
		case p.turn <- struct{}{}:
		default:
			return nil, s.failed
		}
	} else {
		select {
		case p.turn <- struct{}{}:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	defer func() { <-p.turn }()
	again := p.look()
	if again.live() {
		return again.conn, nil
	}
	if s.failed == nil && again.failed != nil {
		return nil, again.failed // It failed while this caller waited.
	}
	return p.dial(ctx, n)
}

// dial makes a new connection. Only the holder of the turn calls it.
func (p *peer) dial(ctx context.Context, n *Node) (*quic.Conn, error) {
	begin := time.Now()
	udp, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return nil, err
	}
	conn, err := n.transport.Dial(ctx, udp, n.tls.Client(), n.config())
	if err != nil {
		if ctx.Err() == nil || time.Since(begin) >= slowDial {
			p.set(peerState{failed: err})
		}
		return nil, err
	}
	p.set(peerState{conn: conn})
	return conn, nil
}

func (p *peer) close() {
	if s := p.look(); s.conn != nil {
		_ = s.conn.CloseWithError(0, "")
	}
}
