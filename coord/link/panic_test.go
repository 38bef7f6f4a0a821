package link

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// A message that makes a handler panic fails its own call. The process, the connection and
// the other handlers go on.
func TestPanicOfHandlerFailsOneCall(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	server := startNode(t, "server", certs, map[string]HandlerFunc{
		"echo":  echo,
		"panic": func(context.Context, *Stream) error { panic("malformed message") },
	})
	client := startNode(t, "client", certs, nil)
	var out []byte
	for range 3 {
		var remote *RemoteError
		is.True(errors.As(client.Call(context.Background(), server.Address(), "panic", []byte("x"), &out), &remote))
		is.Equal(remote.Code, "error")
		is.NoErr(client.Call(context.Background(), server.Address(), "echo", []byte("x"), &out))
	}
}
