package httpd

import (
	"context"
	"strconv"

	"github.com/panjf2000/gnet/v2"
)

// Begin starts a streamed response of size bytes. If size is negative it is
// unknown: the response is sent in chunks, and Finish may add the trailer
// fields listed in trailers. The error is a *GoneError if the client is gone,
// or fasthttp's if a name isn't allowed as a trailer field.
func (x *Exchange) Begin(code int, contentType string, size int64, trailers ...string) error {
	x.answered, x.streaming = true, true
	x.chunked, x.remaining = size < 0, size
	h := &x.response.Header
	h.SetStatusCode(code)
	h.SetContentType(contentType)
	if x.closeAfter || x.conn.server.closeAfterResponse.Load() {
		x.closeAfter = true
		h.SetConnectionClose()
	}
	if size >= 0 {
		h.SetContentLength(int(size))
		return x.send(h.Header())
	}
	h.SetContentLength(-1)
	for _, name := range trailers {
		if err := h.AddTrailer(name); err != nil {
			return err
		}
	}
	return x.send(h.Header())
}

// Write sends a part of the response. It blocks while more than Limits.Window
// bytes are buffered for the client, and returns a *GoneError if the client has
// closed the connection or stopped reading. p may be changed after Write
// returns.
func (x *Exchange) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !x.chunked {
		x.remaining -= int64(len(p))
		return len(p), x.send(p)
	}
	buf := make([]byte, 0, len(p)+chunkOverhead)
	buf = strconv.AppendInt(buf, int64(len(p)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, p...)
	buf = append(buf, "\r\n"...)
	return len(p), x.send(buf)
}

// chunkOverhead is the maximum number of bytes that chunked encoding adds to a
// chunk.
const chunkOverhead = 20

// Trailer sets a trailer field of a stream of unknown size. Begin must have
// listed its name.
func (x *Exchange) Trailer(name, value string) {
	x.trailer = append(x.trailer, name+": "+value+"\r\n"...)
}

// Finish completes a stream and sends its trailer fields. A stream of known size
// stays unfinished if fewer bytes were written. The error is a *GoneError.
func (x *Exchange) Finish() error {
	if !x.chunked {
		x.finished = x.remaining == 0
		return nil
	}
	end := append([]byte("0\r\n"), x.trailer...)
	if err := x.send(append(end, "\r\n"...)); err != nil {
		return err
	}
	x.finished = true
	return nil
}

// send writes p and waits until at most Limits.Window bytes are buffered.
func (x *Exchange) send(p []byte) error {
	if x.clientGone {
		return &GoneError{}
	}
	cn, done := x.conn, make(chan error, 1)
	err := cn.write(p, func(raw gnet.Conn, err error) error {
		if err != nil {
			done <- err
			return nil
		}
		cn.whenDrained(raw, cn.server.limits.Window, func() { done <- nil })
		return nil
	})
	if err == nil {
		select {
		case err = <-done:
		case <-x.ctx.Done():
			err = context.Cause(x.ctx)
		}
	}
	if err != nil {
		x.clientGone = true
		return &GoneError{}
	}
	return nil
}
