package link

import (
	"crypto/sha256"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
)

// Option changes how New makes a Node.
type Option func(*Node)

// WithGate sets a Gate for incoming and outgoing calls.
func WithGate(g Gate) Option {
	return func(n *Node) { n.gate = g }
}

// WithResetSecret enables QUIC stateless resets: a process that is restarted at
// the same address ends its predecessor's connections as soon as a caller uses
// them. Without it callers notice only after the idle time. secret has to be the
// same for both processes. Anyone who knows it and can observe a connection's
// packets can end the connection.
func WithResetSecret(secret string) Option {
	return func(n *Node) {
		key := quic.StatelessResetKey(sha256.Sum256([]byte(secret)))
		n.reset = &key
	}
}

// WithLogger sets the logger for handlers that panic. The default discards all messages.
func WithLogger(l *zap.Logger) Option {
	return func(n *Node) { n.logger = l }
}

// WithIdle sets how long a connection may go without any packet before it is
// considered lost. Keepalives are sent twice in that time. The default is 3
// seconds. It bounds the handshake too.
func WithIdle(d time.Duration) Option {
	return func(n *Node) { n.idle = d }
}

// WithWindow sets the maximum receive windows of one stream and of one
// connection, in bytes. They bound the memory that unread messages take. The
// defaults are 256 KiB and 4 MiB.
func WithWindow(stream, connection uint64) Option {
	return func(n *Node) { n.streamWindow, n.connWindow = stream, connection }
}
