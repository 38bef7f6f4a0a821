package httpd

import (
	"bytes"
	"context"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Exchange is one request and its response. Only the handler's goroutine may
// use it. The response is sent either as a whole with Answer, or as a stream
// with Begin, Write and Finish. If a stream isn't finished the connection is
// closed, which shows the client that the response is incomplete.
type Exchange struct {
	conn       *conn
	ctx        context.Context // cancelled when the connection is closed
	request    *fasthttp.Request
	response   fasthttp.Response
	closeAfter bool // close the connection after the response
	answered   bool
	streaming  bool
	finished   bool
	chunked    bool
	remaining  int64 // bytes of a stream of known length still to be written
	trailer    []byte
	clientGone bool // a write failed or the context has ended
}

func newExchange(ctx context.Context, cn *conn, req *fasthttp.Request) *Exchange {
	return &Exchange{conn: cn, ctx: ctx, request: req, closeAfter: req.ConnectionClose()}
}

// Context returns a context that is cancelled when the client's connection is
// closed.
func (x *Exchange) Context() context.Context { return x.ctx }

// Request returns the request, which is valid until the handler returns.
func (x *Exchange) Request() *fasthttp.Request { return x.request }

// Header returns the response header. Changes after Begin have no effect.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.response.Header }

// Answer sets the whole response, which is sent when the handler returns.
// Later calls, and calls after Begin, are ignored. body must not be changed
// afterwards.
func (x *Exchange) Answer(code int, contentType string, body []byte) {
	if x.answered {
		return
	}
	x.answered = true
	x.response.SetStatusCode(code)
	x.response.Header.SetContentType(contentType)
	x.response.SetBodyRaw(body)
}

// CloseAfter requests that the connection is closed after this response.
func (x *Exchange) CloseAfter() { x.closeAfter = true }

// complete sends the response unless it was streamed. Once the response is
// written the connection continues with its next request, or is closed if it
// has to be, which includes an unfinished stream.
func (x *Exchange) complete() {
	s := x.conn.server
	closeAfter := x.closeAfter || s.closeAfterResponse.Load() || x.streaming && !x.finished
	var out []byte
	if !x.streaming {
		out = x.encodeResponse(closeAfter)
	}
	fasthttp.ReleaseRequest(x.request)
	s.activeRequests.Add(-1)
	cn := x.conn
	_ = cn.write(out, func(raw gnet.Conn, err error) error {
		if err != nil || cn.gnetConn.Context() == nil {
			return nil
		}
		limit := s.limits.Window
		if closeAfter || cn.closing {
			limit = 0 // gnet discards buffered output when it closes a connection.
		}
		cn.whenDrained(raw, limit, func() { cn.afterResponse(closeAfter) })
		return nil
	})
}

// encodeResponse returns the bytes of the response that Answer has set, or of an
// error response if the handler set none.
func (x *Exchange) encodeResponse(closeAfter bool) []byte {
	if !x.answered {
		x.Answer(fasthttp.StatusInternalServerError, "application/json", refusalBody("error", "no answer was given"))
	}
	if closeAfter {
		x.response.SetConnectionClose()
	}
	var out bytes.Buffer
	_, _ = x.response.WriteTo(&out)
	return out.Bytes()
}
