package link

import "context"

// Handler serves the calls of one verb. Handle is called in a goroutine of its
// own for each call. Its context ends when the connection is lost or the server
// stops. If it returns an error and the stream is still open, the caller receives
// a RemoteError: the returned one, or one with the code "error".
type Handler interface {
	Handle(ctx context.Context, s *Stream) error
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, s *Stream) error

// Handle calls f(ctx, s).
func (f HandlerFunc) Handle(ctx context.Context, s *Stream) error { return f(ctx, s) }
