package httpd

import (
	"context"
	"strconv"

	"github.com/panjf2000/gnet/v2"
)

// Begin starts an answer that is written piece by piece. A size below zero
// stands for one that isn't known; Finish may then add trailers, which names
// lists.
func (x *Exchange) Begin(code int, contentType string, size int64, names ...string) error {
	x.answered, x.begun = true, true
	x.chunked, x.left = size < 0, size
	h := &x.response.Header
	h.SetStatusCode(code)
	h.SetContentType(contentType)
	if x.last || x.conn.server.parting.Load() {
		x.last = true
		h.SetConnectionClose()
	}
	if size >= 0 {
		h.SetContentLength(int(size))
		return x.send(h.Header())
	}
	h.SetContentLength(-1)
	for _, name := range names {
		if err := h.AddTrailer(name); err != nil {
			return err
		}
	}
	return x.send(h.Header())
}

// Write sends a piece of the answer. It blocks while the caller reads slowly
// and returns a *GoneError once the caller has gone or has stopped reading.
// The piece may be changed after Write has returned.
func (x *Exchange) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !x.chunked {
		x.left -= int64(len(p))
		return len(p), x.send(p)
	}
	buf := make([]byte, 0, len(p)+chunkOverhead)
	buf = strconv.AppendInt(buf, int64(len(p)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, p...)
	buf = append(buf, "\r\n"...)
	return len(p), x.send(buf)
}

// chunkOverhead is the size of a chunk's frame in bytes, at most.
const chunkOverhead = 20

// Trailer adds a field to the end of a stream of unknown size.
func (x *Exchange) Trailer(name, value string) {
	x.trailer = append(x.trailer, name+": "+value+"\r\n"...)
}

// Finish marks a stream as whole. A stream of known size that is still short
// stays unfinished.
func (x *Exchange) Finish() error {
	if !x.chunked {
		x.finished = x.left == 0
		return nil
	}
	end := append([]byte("0\r\n"), x.trailer...)
	if err := x.send(append(end, "\r\n"...)); err != nil {
		return err
	}
	x.finished = true
	return nil
}

// send hands p to the event loop and waits until the window has room again.
func (x *Exchange) send(p []byte) error {
	if x.gone {
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
		x.gone = true
		return &GoneError{}
	}
	return nil
}
