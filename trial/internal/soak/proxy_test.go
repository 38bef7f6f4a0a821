package soak

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Each mode has its effect on an open connection.
func TestProxy(t *testing.T) {
	tests := map[string]struct {
		mode     Mode
		responds bool // data is echoed before the read deadline
		broken   bool // the connection fails
	}{
		"pass": {mode: Pass, responds: true}, "delay": {mode: Delay, responds: true}, "reset": {mode: Reset, broken: true},
		"blackhole": {mode: Blackhole}, "drop responses": {mode: DropResponses}, "stall": {mode: Stall},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var g errgroup.Group
			g.Go(func() error { // An echo server for one connection.
				conn, err := ln.Accept()
				if err != nil {
					return nil //nolint:nilerr // The test has ended.
				}
				buf := make([]byte, 16)
				for {
					n, err := conn.Read(buf)
					if err != nil {
						return conn.Close()
					}
					_, _ = conn.Write(buf[:n])
				}
			})
			p, err := NewProxy(ln.Addr().String())
			is.NoErr(err)
			conn, err := net.Dial("tcp", p.Address())
			is.NoErr(err)
			buf := make([]byte, 16)
			_, err = conn.Write([]byte("a"))
			is.NoErr(err)
			_, err = conn.Read(buf)
			is.NoErr(err)
			p.SetMode(tt.mode)
			_, _ = conn.Write([]byte("b"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, err = conn.Read(buf)
			is.Equal(err == nil, tt.responds)
			is.Equal(err != nil && !errors.Is(err, os.ErrDeadlineExceeded), tt.broken)
			_ = conn.Close()
			p.Close()
			_ = ln.Close()
			is.NoErr(g.Wait())
		})
	}
}
