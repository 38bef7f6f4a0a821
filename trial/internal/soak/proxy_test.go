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

// Each mode harms open connections as its name says.
func TestProxy(t *testing.T) {
	tests := map[string]struct {
		mode   Mode
		answer bool // within the time that is waited
		broken bool // the connection is
	}{
		"pass": {mode: Pass, answer: true}, "delay": {mode: Delay, answer: true}, "reset": {mode: Reset, broken: true},
		"silence": {mode: Silence}, "one way": {mode: OneWay},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var g errgroup.Group
			g.Go(func() error { // It echoes.
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
			p.Set(tt.mode)
			_, _ = conn.Write([]byte("b"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Second))
			_, err = conn.Read(buf)
			is.Equal(err == nil, tt.answer)
			is.Equal(err != nil && !errors.Is(err, os.ErrDeadlineExceeded), tt.broken)
			_ = conn.Close()
			p.Close()
			_ = ln.Close()
			is.NoErr(g.Wait())
		})
	}
}
