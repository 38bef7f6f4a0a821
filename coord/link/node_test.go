package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// startNode runs a node on a free loopback port until the test ends.
func startNode(t *testing.T, name string, certs TLS, handlers map[string]HandlerFunc, opts ...Option) *Node {
	t.Helper()
	n := New(name, certs, opts...)
	for verb, h := range handlers {
		n.Handle(verb, h)
	}
	is.New(t).NoErr(n.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return n
}

func newCerts(t *testing.T) *Certs {
	t.Helper()
	c, err := IssueFiles(t.TempDir())
	is.New(t).NoErr(err)
	return c
}

// echo returns each message to the caller.
func echo(_ context.Context, s *Stream) error {
	for {
		var data []byte
		if err := s.Recv(&data); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := s.Send(data); err != nil {
			return err
		}
	}
}

func TestCall(t *testing.T) {
	certs := newCerts(t)
	handlers := map[string]HandlerFunc{
		"echo": echo,
		"fail": func(context.Context, *Stream) error { return &RemoteError{Code: "busy", Text: "full"} },
	}
	server := startNode(t, "server", certs, handlers)
	client := startNode(t, "client", certs, nil)
	tests := map[string]struct {
		verb string
		code string
	}{
		"answered": {verb: "echo"},
		"failed":   {verb: "fail", code: "busy"},
		"unknown":  {verb: "none", code: "verb"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out []byte
			in := bytes.Repeat([]byte("x"), 1<<20)
			err := client.Call(context.Background(), server.Address(), tt.verb, in, &out)
			if tt.code == "" {
				is.NoErr(err)
				is.True(bytes.Equal(in, out))
				return
			}
			var remote *RemoteError
			is.True(errors.As(err, &remote))
			is.Equal(remote.Code, tt.code)
		})
	}
}

func TestForeignAuthorityIsRefused(t *testing.T) {
	is := is.New(t)
	server := startNode(t, "server", newCerts(t), map[string]HandlerFunc{"echo": echo})
	client := startNode(t, "client", newCerts(t), nil)
	var out []byte
	err := client.Call(context.Background(), server.Address(), "echo", []byte("x"), &out)
	is.True(err != nil)
}

type closedGate struct{}

func (closedGate) Open(string) bool { return false }

func TestGate(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	server := startNode(t, "server", certs, map[string]HandlerFunc{"echo": echo})
	client := startNode(t, "client", certs, nil, WithGate(closedGate{}))
	var out []byte
	err := client.Call(context.Background(), server.Address(), "echo", []byte("x"), &out)
	var cut *CutError
	is.True(errors.As(err, &cut))
}

func TestDeadPeer(t *testing.T) {
	is := is.New(t)
	client := startNode(t, "client", newCerts(t), nil, WithIdle(200*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := client.Open(ctx, "127.0.0.1:9", "echo")
	var dial *DialError
	is.True(errors.As(err, &dial))
}
