package link

import "time"

// Option changes how New makes a Node.
type Option func(*Node)

// WithGate sets a fault switch for calls in both directions.
func WithGate(g Gate) Option {
	return func(n *Node) { n.gate = g }
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
