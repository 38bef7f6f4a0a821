package store

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// ClientOption changes how NewClient makes a Client.
type ClientOption func(*Client)

// WithTimeout bounds calls whose context has no earlier deadline.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithClientRegistry counts calls in r: store.reads, store.writes and
// store.lost.
func WithClientRegistry(r metrics.Registry) ClientOption {
	return func(c *Client) { c.counts = newCounts(r) }
}

// WithConnections bounds the connections to the platform.
func WithConnections(n int) ClientOption {
	return func(c *Client) { c.http.MaxConnsPerHost = n }
}
