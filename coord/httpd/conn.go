package httpd

import (
	"bufio"
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

// refusalLinger is how long a refused connection stays open while its input is
// discarded. Closing with unread input would send a TCP reset, and the client
// could lose the response.
const refusalLinger = 500 * time.Millisecond

// conn is the state of one connection. Fields are used only on the
// connection's event loop unless their comment says otherwise.
type conn struct {
	server   *Server
	gnetConn gnet.Conn
	tls      *tlsState    // nil on a plain connection
	shard    int          // guarded by connSet
	deadline atomic.Int64 // Unix nanoseconds, 0 for none; read by closeExpired
	idle     atomic.Bool  // no byte of the next request received; read by closeExpired

	buf         []byte
	scanned     int               // bytes of buf already searched for the end of the header
	request     *fasthttp.Request // header parsed, body incomplete; nil before
	headerSize  int               // bytes of the header
	messageSize int               // bytes of header and body
	reserved    int64             // bytes counted in Server.bodyBytes
	serving     bool              // a request is in the handler or its response is being sent
	closing     bool              // further input is discarded
	cancel      context.CancelFunc
}

func newConn(s *Server, raw gnet.Conn) *conn {
	cn := &conn{server: s, gnetConn: raw}
	cn.idle.Store(true)
	cn.setDeadline(s.limits.Idle)
	if s.tls != nil {
		cn.tls = newTLSState(raw, s.tls)
		cn.setDeadline(s.limits.Handshake)
	}
	return cn
}

// setDeadline sets the connection's deadline to d from now; 0 clears it.
func (cn *conn) setDeadline(d time.Duration) {
	if d == 0 {
		cn.deadline.Store(0)
		return
	}
	cn.deadline.Store(cn.server.clock.Now().Add(d).UnixNano())
}

// handleInput buffers received plaintext and starts the next request if none is
// being served. data is only valid during the call.
func (cn *conn) handleInput(data []byte) {
	if cn.closing || len(data) == 0 {
		return
	}
	if cn.serving && len(cn.buf)+len(data) > cn.maxPipelined() {
		cn.closing = true
		return
	}
	cn.buf = append(cn.buf, data...)
	if !cn.serving {
		cn.readRequest()
	}
}

// maxPipelined returns how many bytes of later requests are buffered while a
// request is being served. Requests that are complete within this limit are
// served; input beyond it is discarded, and the connection is closed after
// their responses.
func (cn *conn) maxPipelined() int { return cn.server.limits.Header + cn.server.limits.Body }

// readRequest starts the handler if buf has a complete request.
func (cn *conn) readRequest() {
	if cn.idle.Load() && len(cn.buf) > 0 {
		cn.idle.Store(false)
		cn.setDeadline(cn.server.limits.Read)
	}
	if cn.request == nil && !cn.readHeader() {
		return
	}
	if len(cn.buf) < cn.messageSize {
		return
	}
	cn.startHandler()
}

// readHeader reports whether buf has a complete and valid header. It searches
// each byte only once, so that a header sent in many small pieces costs no
// more than one sent whole.
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

// parse reads the header, which is the first size bytes of buf, and reserves
// space for the body. It reports whether the request is accepted.
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
	cn.request, cn.headerSize, cn.messageSize = req, size, size+length
	if len(cn.buf) < cn.messageSize && bytes.EqualFold(req.Header.Peek(fasthttp.HeaderExpect), []byte("100-continue")) {
		_ = cn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
	}
	return true
}

// reserve counts n bytes against the server's limit for buffered bodies and
// reports whether they fit.
func (cn *conn) reserve(n int64) bool {
	if cn.server.bodyBytes.Add(n) > cn.server.limits.Buffer {
		cn.server.bodyBytes.Add(-n)
		return false
	}
	cn.reserved = n
	return true
}

// startHandler runs the handler on the complete request in buf. Input behind
// the request is kept up to maxPipelined.
func (cn *conn) startHandler() {
	s := cn.server
	req := cn.request
	req.SetBodyRaw(cn.buf[cn.headerSize:cn.messageSize:cn.messageSize])
	rest := cn.buf[cn.messageSize:]
	if len(rest) > cn.maxPipelined() {
		rest, cn.closing = rest[:cn.maxPipelined()], true
	}
	cn.buf = nil
	if len(rest) > 0 {
		cn.buf = bytes.Clone(rest)
	}
	cn.request, cn.scanned, cn.headerSize, cn.messageSize = nil, 0, 0, 0
	cn.serving = true
	cn.setDeadline(0)
	ctx, cancel := context.WithCancel(context.Background())
	cn.cancel = cancel
	x := newExchange(ctx, cn, req)
	s.activeRequests.Add(1)
	if s.handlers.TryGo(func() error { s.runHandler(x); return nil }) {
		return
	}
	s.counts.refused.Inc(1)
	x.Answer(statusUnavailable, "application/json", refusalBody("busy", "too many requests in progress"))
	x.complete()
}

// runHandler calls the handler and sends its response. It runs on a goroutine
// of the handlers group.
func (s *Server) runHandler(x *Exchange) {
	s.counts.requests.Inc(1)
	s.serve(x)
	x.complete()
}

// serve calls the handler. One that panics fails this request alone: what it did
// until then isn't known.
func (s *Server) serve(x *Exchange) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.logger.Error("handler panicked", zap.Any("cause", cause), zap.ByteString("path", x.request.URI().Path()), zap.Stack("stack"))
		x.CloseAfter()
		x.Answer(fasthttp.StatusInternalServerError, "application/json", outcomeBody("unknown", "error", "the request failed"))
	}()
	s.handler.Serve(x)
}

// afterResponse continues with the next request, or closes the connection if
// closeAfter is set or no complete request is left after the input limit was
// exceeded.
func (cn *conn) afterResponse(closeAfter bool) {
	cn.server.bodyBytes.Add(-cn.reserved)
	cn.reserved = 0
	if cn.cancel != nil {
		cn.cancel()
		cn.cancel = nil
	}
	cn.serving = false
	cn.idle.Store(true)
	cn.setDeadline(cn.server.limits.Idle)
	if closeAfter || cn.closing && len(cn.buf) == 0 {
		cn.close()
		return
	}
	if len(cn.buf) == 0 {
		return
	}
	cn.readRequest()
	if cn.closing && !cn.serving {
		cn.close()
	}
}

// close sends a TLS close_notify, if the connection is encrypted, and closes
// the connection.
func (cn *conn) close() {
	cn.closeNotify()
	_ = cn.gnetConn.Close()
}

// refuse sends an error response without calling the handler. The connection is
// closed after refusalLinger.
func (cn *conn) refuse(code int, reason, text string) {
	if code == statusUnavailable {
		cn.server.counts.refused.Inc(1)
	} else {
		cn.server.counts.invalid.Inc(1)
	}
	cn.closing = true
	cn.buf = nil
	cn.setDeadline(refusalLinger)
	_ = cn.write(refusal(code, reason, text), nil)
}

// release frees the resources of a closed connection and cancels its handler's
// context.
func (cn *conn) release() {
	cn.server.bodyBytes.Add(-cn.reserved)
	cn.reserved = 0
	if cn.cancel != nil {
		cn.cancel()
		cn.cancel = nil
	}
	if cn.request != nil {
		fasthttp.ReleaseRequest(cn.request)
		cn.request = nil
	}
	if cn.tls != nil {
		cn.tls.release(cn.server)
	}
	cn.buf = nil
	cn.closing = true
}
