package httpd

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSlowCallers(t *testing.T) {
	tests := map[string]string{
		"nothing sent":  "",
		"half a header": "GET / HTTP/1.1\r\nHos",
		"half a body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := DefaultLimits()
			limits.Idle, limits.Read = 300*time.Millisecond, 300*time.Millisecond
			ts := newTestServer(t, limits, echo)
			c := ts.dial()
			_, err := c.Write([]byte(text))
			is.NoErr(err)
			_, err = io.ReadAll(c)
			is.NoErr(err) // Closed by the server, long before the test's own deadline.
			is.Equal(ts.count("late"), int64(1))
			is.Equal(ts.server.bodyBytes.Load(), int64(0))
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Conns = 3
	ts := newTestServer(t, limits, echo)
	for range 3 {
		c := ts.dial()
		_, err := c.Write([]byte(post("/", "")))
		is.NoErr(err)
		code, _ := readResponse(t, bufio.NewReader(c))
		is.Equal(code, 200)
	}
	code, body := readResponse(t, bufio.NewReader(ts.dial()))
	is.Equal(code, 503)
	is.True(strings.Contains(body, `"notrun"`))
}

func TestBodiesInTransitAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Body, limits.Buffer = 1000, 1500
	ts := newTestServer(t, limits, echo)
	first := ts.dial()
	_, err := first.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"))
	is.NoErr(err)
	for ts.server.bodyBytes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := ts.dial()
	_, err = second.Write([]byte(post("/", strings.Repeat("x", 1000))))
	is.NoErr(err)
	code, _ := readResponse(t, bufio.NewReader(second))
	is.Equal(code, 503)
	is.NoErr(first.Close())
	for ts.server.bodyBytes.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowReaderHoldsBackTheWriter streams a large response to a client that
// doesn't read. The handler must block once the window is full, so that the
// server buffers no more than the window and the socket buffers.
func TestSlowReaderHoldsBackTheWriter(t *testing.T) {
	is := is.New(t)
	const total, piece = 64 << 20, 32 << 10
	var written atomic.Int64
	ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
		if x.Begin(200, "text/plain", -1, "Outcome") != nil {
			return
		}
		buf := bytes.Repeat([]byte("x"), piece)
		for written.Load() < total {
			if _, err := x.Write(buf); err != nil {
				return
			}
			written.Add(piece)
		}
		x.Trailer("Outcome", "done")
		_ = x.Finish()
	})
	c := ts.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	time.Sleep(500 * time.Millisecond)
	is.True(written.Load() < total/2) // The handler is blocked with most of the response unsent.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.Equal(n, int64(total))
	is.Equal(resp.Trailer.Get("Outcome"), "done")
}

func TestCallerThatStopsReadingIsClosed(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Write = 300 * time.Millisecond
	ended := make(chan error, 1)
	ts := newTestServer(t, limits, func(x *Exchange) {
		err := x.Begin(200, "text/plain", -1)
		buf := bytes.Repeat([]byte("x"), 64<<10)
		for err == nil {
			_, err = x.Write(buf)
		}
		ended <- err
	})
	c := ts.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(15 * time.Second):
		t.Fatal("the handler still writes to a client that doesn't read")
	}
	is.Equal(ts.count("stalled"), int64(1))
}
