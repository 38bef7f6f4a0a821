package door

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

// handlerFunc is a function that serves as a Handler.
type handlerFunc func(x *Exchange)

// Serve implements Handler.
func (f handlerFunc) Serve(x *Exchange) { f(x) }

// rig is a Server on a loopback address.
type rig struct {
	t        testing.TB
	server   *Server
	address  string
	registry metrics.Registry
}

func newRig(t testing.TB, limits Limits, h handlerFunc) *rig {
	t.Helper()
	clock := timer.New()
	r := &rig{t: t, registry: metrics.NewRegistry(), address: freeAddress(t)}
	r.server = New(clock, h, WithLimits(limits), WithRegistry(r.registry), WithLoops(1))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	g.Go(func() error { return r.server.Run(ctx, r.address) })
	<-r.server.Booted()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	return r
}

// freeAddress returns a free port of a loopback network that hardly another
// test uses.
func freeAddress(t testing.TB) string {
	t.Helper()
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	ln, err := net.Listen("tcp", "127."+part()+"."+part()+"."+part()+":0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (r *rig) dial() net.Conn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.address)
	is.New(r.t).NoErr(err)
	r.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (r *rig) count(name string) int64 {
	return metrics.GetOrRegisterCounter("entry.door."+name, r.registry).Count()
}

// echo answers with the path and the body.
func echo(x *Exchange) {
	body := append([]byte(string(x.Request().URI().Path())+" "), x.Request().Body()...)
	x.Answer(200, "text/plain", body)
}

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func readAnswer(t testing.TB, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	is.New(t).NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp.StatusCode, string(body)
}

func TestRequestInPieces(t *testing.T) {
	for name, size := range map[string]int{"byte by byte": 1, "in threes": 3, "in one": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, DefaultLimits(), echo)
			c := r.dial()
			text := post("/a", "first") + post("/b", "") + post("/c", "third")
			for len(text) > 0 {
				n := min(size, len(text))
				_, err := c.Write([]byte(text[:n]))
				is.NoErr(err)
				text = text[n:]
			}
			in := bufio.NewReader(c)
			for _, want := range []string{"/a first", "/b ", "/c third"} {
				code, body := readAnswer(t, in)
				is.Equal(code, 200)
				is.Equal(body, want)
			}
		})
	}
}

func TestPipelineKeepsOrder(t *testing.T) {
	is := is.New(t)
	r := newRig(t, DefaultLimits(), func(x *Exchange) {
		if strings.HasSuffix(string(x.Request().URI().Path()), "0") {
			time.Sleep(5 * time.Millisecond)
		}
		echo(x)
	})
	c := r.dial()
	var out bytes.Buffer
	for i := range 100 {
		out.WriteString(post("/"+strconv.Itoa(i), "b"))
	}
	_, err := c.Write(out.Bytes())
	is.NoErr(err)
	in := bufio.NewReader(c)
	for i := range 100 {
		_, body := readAnswer(t, in)
		is.Equal(body, "/"+strconv.Itoa(i)+" b")
	}
}

// TestPipelineIsBounded sends far more than the bound while the first request
// is being served. What is answered is answered in order, then the connection
// ends.
func TestPipelineIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Header, limits.Body = 1<<10, 1<<10
	hold := make(chan struct{})
	r := newRig(t, limits, func(x *Exchange) {
		<-hold
		echo(x)
	})
	c := r.dial()
	for i := range 1000 {
		if _, err := c.Write([]byte(post("/"+strconv.Itoa(i), strings.Repeat("b", 500)))); err != nil {
			break
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(hold)
	in := bufio.NewReader(c)
	n := 0
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(body), "/"+strconv.Itoa(n)+" "))
		n++
	}
	is.True(n >= 1)
	is.True(n < 10)
}

func TestRefused(t *testing.T) {
	limits := DefaultLimits()
	limits.Header, limits.Body = 512, 100
	tests := map[string]struct {
		text string
		code int
	}{
		"long header":     {text: "GET /" + strings.Repeat("x", 1000) + " HTTP/1.1\r\n", code: 431},
		"long body":       {text: post("/", strings.Repeat("x", 101)), code: 413},
		"chunked body":    {text: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", code: 411},
		"both lengths":    {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", code: 411},
		"two lengths":     {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", code: 400},
		"negative length": {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", code: 400},
		"old HTTP":        {text: "GET / HTTP/1.0\r\n\r\n", code: 400},
		"no HTTP":         {text: "\x16\x03\x01\x02\x00\r\n\r\n", code: 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := false
			r := newRig(t, limits, func(x *Exchange) { served = true; echo(x) })
			c := r.dial()
			_, err := c.Write([]byte(tt.text))
			is.NoErr(err)
			in := bufio.NewReader(c)
			code, _ := readAnswer(t, in)
			is.Equal(code, tt.code)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF) // The connection ends.
			is.True(!served)
		})
	}
}

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
			r := newRig(t, limits, echo)
			c := r.dial()
			_, err := c.Write([]byte(text))
			is.NoErr(err)
			_, err = io.ReadAll(c)
			is.NoErr(err) // Closed by the server, long before the test's own limit.
			is.Equal(r.count("late"), int64(1))
			is.Equal(r.server.buffered.Load(), int64(0))
		})
	}
}

func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Conns = 3
	r := newRig(t, limits, echo)
	for range 3 {
		c := r.dial()
		_, err := c.Write([]byte(post("/", "")))
		is.NoErr(err)
		code, _ := readAnswer(t, bufio.NewReader(c))
		is.Equal(code, 200)
	}
	code, body := readAnswer(t, bufio.NewReader(r.dial()))
	is.Equal(code, 503)
	is.True(strings.Contains(body, `"notrun"`))
}

func TestBodiesInTransitAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Body, limits.Buffer = 1000, 1500
	r := newRig(t, limits, echo)
	first := r.dial()
	_, err := first.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n"))
	is.NoErr(err)
	for r.server.buffered.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := r.dial()
	_, err = second.Write([]byte(post("/", strings.Repeat("x", 1000))))
	is.NoErr(err)
	code, _ := readAnswer(t, bufio.NewReader(second))
	is.Equal(code, 503)
	is.NoErr(first.Close())
	for r.server.buffered.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestSlowReaderHoldsBackTheWriter streams a large answer to a caller that
// doesn't read: the handler has to stop after the window, and no more than
// window and socket buffers may be held for the caller.
func TestSlowReaderHoldsBackTheWriter(t *testing.T) {
	is := is.New(t)
	const total, piece = 64 << 20, 32 << 10
	var written atomic.Int64
	r := newRig(t, DefaultLimits(), func(x *Exchange) {
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
	c := r.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	time.Sleep(500 * time.Millisecond)
	is.True(written.Load() < total/2) // Held back, with the rest of the answer to come.
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
	r := newRig(t, limits, func(x *Exchange) {
		err := x.Begin(200, "text/plain", -1)
		buf := bytes.Repeat([]byte("x"), 64<<10)
		for err == nil {
			_, err = x.Write(buf)
		}
		ended <- err
	})
	c := r.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(15 * time.Second):
		t.Fatal("the handler still writes")
	}
	is.Equal(r.count("stalled"), int64(1))
}

func TestUnfinishedStreamIsVisible(t *testing.T) {
	tests := map[string]struct {
		size  int64
		whole bool
	}{
		"unknown size, unfinished": {size: -1},
		"unknown size, finished":   {size: -1, whole: true},
		"known size, short":        {size: 20},
		"known size, whole":        {size: 10, whole: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, DefaultLimits(), func(x *Exchange) {
				_ = x.Begin(200, "text/plain", tt.size)
				_, _ = x.Write([]byte("0123456789"))
				if tt.whole || tt.size > 0 {
					_ = x.Finish()
				}
			})
			c := r.dial()
			_, err := c.Write([]byte(post("/", "")))
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			is.Equal(err == nil, tt.whole)
			is.Equal(string(body), "0123456789")
		})
	}
}

func TestContextEndsWithTheCaller(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	r := newRig(t, DefaultLimits(), func(x *Exchange) {
		close(began)
		<-x.Context().Done()
		close(ended)
	})
	c := r.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	<-began
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		t.Fatal("the handler doesn't know that the caller is gone")
	}
}

func TestLeave(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	r := newRig(t, DefaultLimits(), func(x *Exchange) {
		<-hold
		echo(x)
	})
	idle, busy := r.dial(), r.dial()
	_, err := busy.Write([]byte(post("/", "")))
	is.NoErr(err)
	for r.server.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.server.Leave()
	_, err = io.ReadAll(idle)
	is.NoErr(err)
	close(hold)
	in := bufio.NewReader(busy)
	resp, err := http.ReadResponse(in, nil)
	is.NoErr(err)
	is.True(resp.Close)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
}

func TestContinue(t *testing.T) {
	is := is.New(t)
	r := newRig(t, DefaultLimits(), echo)
	c := r.dial()
	_, err := c.Write([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n"))
	is.NoErr(err)
	in := bufio.NewReader(c)
	line, err := in.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n")
	_, err = in.ReadString('\n')
	is.NoErr(err)
	_, err = c.Write([]byte("ok"))
	is.NoErr(err)
	_, body := readAnswer(t, in)
	is.Equal(body, "/a ok")
}

func TestRestartOnTheSamePort(t *testing.T) {
	is := is.New(t)
	clock := timer.New()
	address := freeAddress(t)
	for range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		s := New(clock, handlerFunc(echo))
		var g errgroup.Group
		g.Go(func() error { return s.Run(ctx, address) })
		<-s.Booted()
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = c.Write([]byte(post("/", "")))
		is.NoErr(err)
		code, _ := readAnswer(t, bufio.NewReader(c))
		is.Equal(code, 200)
		cancel()
		is.NoErr(g.Wait())
		is.NoErr(c.Close())
	}
}
