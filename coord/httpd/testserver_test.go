package httpd

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

// handlerFunc adapts a function to a Handler.
type handlerFunc func(x *Exchange)

// Serve implements Handler.
func (f handlerFunc) Serve(x *Exchange) { f(x) }

// testServer is a running Server on a loopback address.
type testServer struct {
	t        testing.TB
	server   *Server
	address  string
	registry metrics.Registry
}

func newTestServer(t testing.TB, limits Limits, h handlerFunc, opts ...Option) *testServer {
	t.Helper()
	clock := timer.New()
	ts := &testServer{t: t, registry: metrics.NewRegistry(), address: freeAddress(t)}
	ts.server = New(clock, h, append([]Option{WithLimits(limits), WithRegistry(ts.registry), WithLoops(1)}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	g.Go(func() error { return ts.server.Run(ctx, ts.address) })
	<-ts.server.Booted()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	return ts
}

// freeAddress returns a free port on a random loopback address, so that it
// hardly collides with other tests.
func freeAddress(t testing.TB) string {
	t.Helper()
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	ln, err := net.Listen("tcp", "127."+part()+"."+part()+"."+part()+":0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func (ts *testServer) dial() net.Conn {
	ts.t.Helper()
	c, err := net.Dial("tcp", ts.address)
	is.New(ts.t).NoErr(err)
	ts.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func (ts *testServer) count(name string) int64 {
	return metrics.GetOrRegisterCounter("entry.door."+name, ts.registry).Count()
}

// echo responds with the path and the body of the request.
func echo(x *Exchange) {
	body := append([]byte(string(x.Request().URI().Path())+" "), x.Request().Body()...)
	x.Answer(200, "text/plain", body)
}

func post(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func readResponse(t testing.TB, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	is.New(t).NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.New(t).NoErr(err)
	return resp.StatusCode, string(body)
}
