package serve

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes = 16 << 20 // of a request
	bufferBytes  = 4 << 10  // for each direction of a connection
)

// Run serves h on ln until ctx ends, and returns nil then. conns is the largest
// number of concurrent connections; 0 is fasthttp's default.
func Run(ctx context.Context, ln net.Listener, h fasthttp.RequestHandler, conns int) error {
	srv := &fasthttp.Server{
		Handler:               h,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ReadBufferSize:        bufferBytes,
		WriteBufferSize:       bufferBytes,
		MaxRequestBodySize:    maxBodyBytes,
		Concurrency:           conns,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := srv.Serve(ln)
	if ctx.Err() != nil && (err == nil || errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// discardLogger discards fasthttp's log, since fault switches close connections
// on purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
