package point

import "time"

// ClientOption changes how NewClient makes a Client.
type ClientOption func(*Client)

// WithTimeout bounds calls whose context has no earlier deadline. The wait
// that a Renew asks for is added.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithRunTimeout bounds a Run whose context has no earlier deadline, its
// answer included.
func WithRunTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.runTimeout = d }
}

// WithConnections bounds the connections to one endpoint.
func WithConnections(n int) ClientOption {
	return func(c *Client) { c.http.MaxConnsPerHost = n }
}

// WithWindow sets how many bytes of an answer are held for a slow reader.
func WithWindow(bytes int) ClientOption {
	return func(c *Client) { c.http.ReadBufferSize = bytes }
}
