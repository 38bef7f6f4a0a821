package httpd

import (
	"bufio"
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// lingerTime is how long a refused connection is kept open and its input
// thrown away, so that the refusal isn't lost to a reset.
const lingerTime = 500 * time.Millisecond

// conn is the state of one connection. The fields without a note are used on
// its event loop only.
type conn struct {
	server *Server
	raw    gnet.Conn
	secure *secure      // nil on a plain connection
	shard  int          // guarded by connSet
	due    atomic.Int64 // deadline in Unix nanoseconds, 0 for none
	idle   atomic.Bool  // no byte of a next request has come

	buf      []byte
	scanned  int               // bytes of buf in which the header's end was sought
	request  *fasthttp.Request // header read, body awaited
	head     int               // size of the header
	need     int               // size of header and body
	reserved int64             // bytes of the server's body buffer
	busy     bool              // a request is in the handler
	closing  bool              // input is thrown away
	cancel   context.CancelFunc
}

func newConn(s *Server, raw gnet.Conn) *conn {
	cn := &conn{server: s, raw: raw}
	cn.idle.Store(true)
	cn.limit(s.limits.Idle)
	if s.tls != nil {
		cn.secure = newSecure(raw, s.tls)
		cn.limit(s.limits.Shake)
	}
	return cn
}

// limit sets the deadline to d from now; 0 is none.
func (cn *conn) limit(d time.Duration) {
	if d == 0 {
		cn.due.Store(0)
		return
	}
	cn.due.Store(cn.server.clock.Now().Add(d).UnixNano())
}

// feed takes bytes from the network. They are only valid during the call.
func (cn *conn) feed(data []byte) {
	if cn.closing || len(data) == 0 {
		return
	}
	if cn.busy && len(cn.buf)+len(data) > cn.pipeline() {
		cn.closing = true
		return
	}
	cn.buf = append(cn.buf, data...)
	if !cn.busy {
		cn.advance()
	}
}

// pipeline returns how many bytes may wait behind a request that is being
// served. What came whole within them is answered; what goes beyond is thrown
// away, and the connection is closed after the answers.
func (cn *conn) pipeline() int { return cn.server.limits.Header + cn.server.limits.Body }

// advance reads the next request from buf if it is there whole.
func (cn *conn) advance() {
	if cn.idle.Load() && len(cn.buf) > 0 {
		cn.idle.Store(false)
		cn.limit(cn.server.limits.Read)
	}
	if cn.request == nil && !cn.readHeader() {
		return
	}
	if len(cn.buf) < cn.need {
		return
	}
	cn.dispatch()
}

// readHeader reports whether a header is complete and acceptable. Each byte
// is looked at once, however slowly the header comes.
func (cn *conn) readHeader() bool {
	if cn.scanned == 0 {
		cn.buf = bytes.TrimLeft(cn.buf, "\r\n")
	}
	from := max(0, cn.scanned-len(headerEnd)+1)
	i := bytes.Index(cn.buf[from:], []byte(headerEnd))
	size := from + i + len(headerEnd)
	if i < 0 {
		cn.scanned = len(cn.buf)
		size = len(cn.buf)
	}
	if size > cn.server.limits.Header {
		cn.refuse(fasthttp.StatusRequestHeaderFieldsTooLarge, "size", "the header is too large")
		return false
	}
	if i < 0 {
		return false
	}
	return cn.parse(size)
}

func (cn *conn) parse(size int) bool {
	req := fasthttp.AcquireRequest()
	r := bufio.NewReaderSize(bytes.NewReader(cn.buf[:size]), size)
	if err := req.Header.Read(r); err != nil || !req.Header.IsHTTP11() {
		fasthttp.ReleaseRequest(req)
		cn.refuse(fasthttp.StatusBadRequest, "invalid", "not an HTTP/1.1 request")
		return false
	}
	length := req.Header.ContentLength()
	if length < -1 || length == -2 {
		length = 0
	}
	if len(req.Header.Peek(fasthttp.HeaderTransferEncoding)) > 0 || length < 0 {
		fasthttp.ReleaseRequest(req)
		cn.refuse(fasthttp.StatusLengthRequired, "invalid", "send the body with Content-Length")
		return false
	}
	if length > cn.server.limits.Body {
		fasthttp.ReleaseRequest(req)
		cn.refuse(fasthttp.StatusRequestEntityTooLarge, "size", "the body is too large")
		return false
	}
	if !cn.reserve(int64(length)) {
		fasthttp.ReleaseRequest(req)
		cn.refuse(statusUnavailable, "busy", "too many bodies in transit")
		return false
	}
	cn.request, cn.head, cn.need = req, size, size+length
	if len(cn.buf) < cn.need && bytes.EqualFold(req.Header.Peek(fasthttp.HeaderExpect), []byte("100-continue")) {
		_ = cn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
	}
	return true
}

// reserve takes n bytes of the server's buffer for bodies.
func (cn *conn) reserve(n int64) bool {
	if cn.server.buffered.Add(n) > cn.server.limits.Buffer {
		cn.server.buffered.Add(-n)
		return false
	}
	cn.reserved = n
	return true
}

// dispatch gives the complete request to the handler.
func (cn *conn) dispatch() {
	s := cn.server
	req := cn.request
	req.SetBodyRaw(cn.buf[cn.head:cn.need:cn.need])
	rest := cn.buf[cn.need:]
	if len(rest) > cn.pipeline() {
		rest, cn.closing = rest[:cn.pipeline()], true
	}
	cn.buf = nil
	if len(rest) > 0 {
		cn.buf = bytes.Clone(rest)
	}
	cn.request, cn.scanned, cn.head, cn.need = nil, 0, 0, 0
	cn.busy = true
	cn.limit(0)
	ctx, cancel := context.WithCancel(context.Background())
	cn.cancel = cancel
	x := newExchange(ctx, cn, req)
	s.active.Add(1)
	if s.group.TryGo(func() error { s.serve(x); return nil }) {
		return
	}
	s.counts.refused.Inc(1)
	x.Answer(statusUnavailable, "application/json", refusalBody("busy", "too many requests in progress"))
	x.end()
}

// serve runs on a goroutine of the server's group.
func (s *Server) serve(x *Exchange) {
	s.counts.requests.Inc(1)
	s.handler.Serve(x)
	x.end()
}

// next goes on after an answer has been handed to the connection.
func (cn *conn) next(last bool) {
	cn.server.buffered.Add(-cn.reserved)
	cn.reserved = 0
	if cn.cancel != nil {
		cn.cancel()
		cn.cancel = nil
	}
	cn.busy = false
	cn.idle.Store(true)
	cn.limit(cn.server.limits.Idle)
	if last || cn.closing && len(cn.buf) == 0 {
		cn.end()
		return
	}
	if len(cn.buf) == 0 {
		return
	}
	cn.advance()
	if cn.closing && !cn.busy {
		cn.end()
	}
}

// end closes the connection after an answer.
func (cn *conn) end() {
	cn.closeNotify()
	_ = cn.raw.Close()
}

// refuse answers a request that isn't let in and ends the connection.
func (cn *conn) refuse(code int, reason, text string) {
	if code == statusUnavailable {
		cn.server.counts.refused.Inc(1)
	} else {
		cn.server.counts.invalid.Inc(1)
	}
	cn.closing = true
	cn.buf = nil
	cn.limit(lingerTime)
	_ = cn.write(refusal(code, reason, text), nil)
}

// release gives back what the connection holds.
func (cn *conn) release() {
	cn.server.buffered.Add(-cn.reserved)
	cn.reserved = 0
	if cn.cancel != nil {
		cn.cancel()
		cn.cancel = nil
	}
	if cn.request != nil {
		fasthttp.ReleaseRequest(cn.request)
		cn.request = nil
	}
	if cn.secure != nil {
		cn.secure.release(cn.server)
	}
	cn.buf = nil
	cn.closing = true
}
