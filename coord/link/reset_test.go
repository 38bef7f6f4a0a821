package link

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// A killed process doesn't close its connections. The process that is restarted
// at its address resets them, so that callers don't wait for the idle time.
func TestRestartEndsOldConnections(t *testing.T) {
	const idle = time.Minute
	is := is.New(t)
	certs := newCerts(t)
	opts := []Option{WithIdle(idle), WithResetSecret("server")}
	first := New("server", certs, opts...)
	first.Handle("echo", HandlerFunc(echo))
	is.NoErr(first.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return first.Run(ctx) })
	address := first.Address()
	client := startNode(t, "client", certs, nil, WithIdle(idle))
	var out []byte
	is.NoErr(client.Call(context.Background(), address, "echo", []byte("x"), &out))
	is.NoErr(first.transport.Conn.Close()) // Like a kill: the client is not notified.
	cancel()
	_ = g.Wait() // Run fails because the socket is closed.

	second := New("server", certs, opts...)
	second.Handle("echo", HandlerFunc(echo))
	is.NoErr(second.Listen(address))
	running, end := context.WithCancel(context.Background())
	var again errgroup.Group
	again.Go(func() error { return second.Run(running) })
	t.Cleanup(func() { end(); _ = again.Wait() })
	call, stop := context.WithTimeout(context.Background(), idle/2)
	defer stop()
	for client.Call(call, address, "echo", []byte("x"), &out) != nil && call.Err() == nil {
	}
	is.NoErr(call.Err())
}
