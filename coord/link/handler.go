package link

import "context"

// Handler serves the calls of one verb. The context ends when the connection
// is lost or the server stops. An error that Handle returns is sent to the
// caller if the stream is still open.
type Handler interface {
	Handle(ctx context.Context, s *Stream) error
}

// HandlerFunc is a function that serves as a Handler.
type HandlerFunc func(ctx context.Context, s *Stream) error

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, s *Stream) error { return f(ctx, s) }
