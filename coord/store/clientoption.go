package store

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithTimeout sets the timeout of calls whose context has no earlier deadline.
// The default is 2 s.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithClientRegistry sets the registry of the client's metrics: store.reads,
// store.writes and store.lost, the number of calls that failed with an
// *UnavailableError.
func WithClientRegistry(r metrics.Registry) ClientOption {
	return func(c *Client) { c.counts = newCounts(r) }
}

// WithConnections sets the maximum number of connections to the platform. The
// default is 16.
func WithConnections(n int) ClientOption {
	return func(c *Client) { c.http.MaxConnsPerHost = n }
}
