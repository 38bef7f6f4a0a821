package link

import (
	"crypto/sha256"
	"time"

	"github.com/quic-go/quic-go"
)

// Option changes how New makes a Node.
type Option func(*Node)

// WithGate sets a fault switch for calls in both directions.
func WithGate(g Gate) Option {
	return func(n *Node) { n.gate = g }
}

// WithResetSecret lets a process that is started again at an address tell callers
// at once that connections to the one before are gone; otherwise they find out
// after the idle time. secret has to be the same for both processes; who knows it
// and sees a connection's packets can end it.
func WithResetSecret(secret string) Option {
	return func(n *Node) {
		key := quic.StatelessResetKey(sha256.Sum256([]byte(secret)))
		n.reset = &key
	}
}

// WithIdle sets after how long without any packet a connection counts as
// lost. Keepalives are sent twice as often.
func WithIdle(d time.Duration) Option {
	return func(n *Node) { n.idle = d }
}

// WithWindow sets the receive window of one stream and of one connection, in
// bytes; it bounds what an answer in transit can occupy.
func WithWindow(stream, connection uint64) Option {
	return func(n *Node) { n.streamWindow, n.connWindow = stream, connection }
}
