package httpd

import "time"

// Limits bounds the resources that clients can use. A request or connection
// beyond a limit is refused; a connection that exceeds a time limit is closed.
type Limits struct {
	Conns      int           // open connections
	Handshakes int           // concurrent TLS handshakes
	Requests   int           // concurrent requests in handlers
	Header     int           // bytes of a request's header
	Body       int           // bytes of a request's body
	Buffer     int64         // bytes of request bodies on all connections together
	Window     int           // bytes of responses buffered for one slow client
	Handshake  time.Duration // from accepting a connection to the end of its TLS handshake
	Idle       time.Duration // between two requests on a connection
	Read       time.Duration // from the first byte of a request to its last
	Write      time.Duration // without the client reading any part of a response
}

// DefaultLimits returns limits for a small host.
func DefaultLimits() Limits {
	return Limits{
		Conns: 4096, Handshakes: 1024, Requests: 4096, Header: 8 << 10, Body: 1 << 20, Buffer: 16 << 20, Window: 64 << 10,
		Handshake: 5 * time.Second, Idle: time.Minute, Read: 10 * time.Second, Write: 10 * time.Second,
	}
}
