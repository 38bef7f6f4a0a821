package point

import "time"

// ClientOption changes how NewClient makes a Client.
type ClientOption func(*Client)

// WithTimeout bounds each call other than Run. A context with an earlier
// deadline bounds it further. The default is 2 seconds. For a Renew, its Wait is
// added.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithRunTimeout bounds each Run, including reading its answer. A context with
// an earlier deadline bounds it further. The default is 1 minute.
func WithRunTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.runTimeout = d }
}

// WithConnections sets the maximum number of connections to one endpoint. The
// default is 24.
func WithConnections(n int) ClientOption {
	return func(c *Client) { c.http.MaxConnsPerHost = n }
}

// WithWindow sets how many bytes of an answer are buffered for a slow reader.
// The default is 8 KiB.
func WithWindow(bytes int) ClientOption {
	return func(c *Client) { c.http.ReadBufferSize = bytes }
}
