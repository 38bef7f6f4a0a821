package httpd

import "time"

// Limits bounds what callers can occupy.
type Limits struct {
	Conns    int           // connections at a time
	Shakes   int           // TLS handshakes at a time
	Requests int           // requests in handlers at a time
	Header   int           // bytes of one request's header
	Body     int           // bytes of one request's body
	Buffer   int64         // bytes of request bodies on all connections
	Window   int           // bytes of an answer buffered for a slow caller
	Shake    time.Duration // from a connection's begin to the end of its TLS handshake
	Idle     time.Duration // between two requests on a connection
	Read     time.Duration // from a request's first byte to its last
	Write    time.Duration // without any progress of an answer
}

// DefaultLimits returns limits for a small host.
func DefaultLimits() Limits {
	return Limits{
		Conns: 4096, Shakes: 1024, Requests: 4096, Header: 8 << 10, Body: 1 << 20, Buffer: 16 << 20, Window: 64 << 10,
		Shake: 5 * time.Second, Idle: time.Minute, Read: 10 * time.Second, Write: 10 * time.Second,
	}
}
