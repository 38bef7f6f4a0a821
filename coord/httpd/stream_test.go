package httpd

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

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
			ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
				_ = x.Begin(200, "text/plain", tt.size)
				_, _ = x.Write([]byte("0123456789"))
				if tt.whole || tt.size > 0 {
					_ = x.Finish()
				}
			})
			c := ts.dial()
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
	ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
		close(began)
		<-x.Context().Done()
		close(ended)
	})
	c := ts.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	<-began
	is.NoErr(c.Close())
	select {
	case <-ended:
	case <-time.After(15 * time.Second):
		t.Fatal("the handler's context is not cancelled after the client closed the connection")
	}
}

func TestLeave(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
		<-unblock
		echo(x)
	})
	idle, busy := ts.dial(), ts.dial()
	_, err := busy.Write([]byte(post("/", "")))
	is.NoErr(err)
	for ts.server.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	ts.server.StartDraining()
	_, err = io.ReadAll(idle)
	is.NoErr(err)
	close(unblock)
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
	ts := newTestServer(t, DefaultLimits(), echo)
	c := ts.dial()
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
	_, body := readResponse(t, in)
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
		code, _ := readResponse(t, bufio.NewReader(c))
		is.Equal(code, 200)
		cancel()
		is.NoErr(g.Wait())
		is.NoErr(c.Close())
	}
}
