package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// slowDial is the least duration from which a dial that its caller abandoned
// counts as a failure of the peer.
const slowDial = 500 * time.Millisecond

// peer is the connection to one address, opened on demand. Only one caller
// dials at a time. If the latest dial failed, other callers don't wait for the
// dial in progress but fail at once, so that a dead peer delays only one caller.
type peer struct {
	address  string
	dialSlot chan struct{} // semaphore: a token while a caller dials

	mu    sync.Mutex // guards state
	state peerState
}

// peerState is the state of a peer's connection.
type peerState struct {
	conn   *quic.Conn // latest connection, nil if the latest dial failed
	failed error      // error of the latest dial, nil if it succeeded
}

func newPeer(address string) *peer {
	return &peer{address: address, dialSlot: make(chan struct{}, 1)}
}

// current returns the state.
func (p *peer) current() peerState {
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
	s := p.current()
	if s.live() {
		return s.conn, nil
	}
	if s.failed != nil {
		select {
		case p.dialSlot <- struct{}{}:
		default:
			return nil, s.failed
		}
	} else {
		select {
		case p.dialSlot <- struct{}{}:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	defer func() { <-p.dialSlot }()
	again := p.current()
	if again.live() {
		return again.conn, nil
	}
	if s.failed == nil && again.failed != nil {
		return nil, again.failed // The dial failed while this caller waited for it.
	}
	return p.dial(ctx, n)
}

// dial opens a new connection. The caller holds the dial slot.
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
	if s := p.current(); s.conn != nil {
		_ = s.conn.CloseWithError(0, "")
	}
}
