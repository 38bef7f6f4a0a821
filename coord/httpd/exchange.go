package httpd

import (
	"bytes"
	"context"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Exchange is one request and its answer. It is used by one goroutine, that
// of the handler. An answer is given either whole by Answer, or as a stream
// by Begin, Write and Finish. A stream that isn't finished ends with its
// connection, so that the caller sees that it is incomplete.
type Exchange struct {
	conn     *conn
	ctx      context.Context // ends with the caller's connection
	request  *fasthttp.Request
	response fasthttp.Response
	last     bool // the connection is closed after the answer
	answered bool
	begun    bool
	finished bool
	chunked  bool
	left     int64 // bytes still to come of a stream of known length
	trailer  []byte
	gone     bool // the caller can't be written to
}

func newExchange(ctx context.Context, cn *conn, req *fasthttp.Request) *Exchange {
	return &Exchange{conn: cn, ctx: ctx, request: req, last: req.ConnectionClose()}
}

// Context ends when the caller closes its connection.
func (x *Exchange) Context() context.Context { return x.ctx }

// Request returns the request. It is valid until the handler returns.
func (x *Exchange) Request() *fasthttp.Request { return x.request }

// Header returns the header of the answer, to be filled before the answer
// begins.
func (x *Exchange) Header() *fasthttp.ResponseHeader { return &x.response.Header }

// Answer gives the whole answer. Only the first call counts.
func (x *Exchange) Answer(code int, contentType string, body []byte) {
	if x.answered {
		return
	}
	x.answered = true
	x.response.SetStatusCode(code)
	x.response.Header.SetContentType(contentType)
	x.response.SetBodyRaw(body)
}

// CloseAfter closes the connection after this answer.
func (x *Exchange) CloseAfter() { x.last = true }

// end sends a whole answer, or closes the connection of an unfinished one,
// and lets the connection go on.
func (x *Exchange) end() {
	s := x.conn.server
	last := x.last || s.parting.Load() || x.begun && !x.finished
	var out []byte
	if !x.begun {
		out = x.whole(last)
	}
	fasthttp.ReleaseRequest(x.request)
	s.active.Add(-1)
	cn := x.conn
	_ = cn.write(out, func(raw gnet.Conn, err error) error {
		if err != nil || cn.raw.Context() == nil {
			return nil
		}
		room := s.limits.Window
		if last || cn.closing {
			room = 0 // gnet drops what waits when it closes a connection.
		}
		cn.whenDrained(raw, room, func() { cn.next(last) })
		return nil
	})
}

func (x *Exchange) whole(last bool) []byte {
	if !x.answered {
		x.Answer(fasthttp.StatusInternalServerError, "application/json", refusalBody("error", "no answer was given"))
	}
	if last {
		x.response.SetConnectionClose()
	}
	var out bytes.Buffer
	_, _ = x.response.WriteTo(&out)
	return out.Bytes()
}
