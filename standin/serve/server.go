package serve

import (
	"context"
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

const (
	bodyLimit  = 16 << 20 // bytes of one request
	bufferSize = 4 << 10  // bytes for each direction of a connection
)

// Run serves h on ln until ctx ends. conns bounds the connections; 0 is the
// library's bound.
func Run(ctx context.Context, ln net.Listener, h fasthttp.RequestHandler, conns int) error {
	srv := &fasthttp.Server{
		Handler:               h,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ReadBufferSize:        bufferSize,
		WriteBufferSize:       bufferSize,
		MaxRequestBodySize:    bodyLimit,
		Concurrency:           conns,
		CloseOnShutdown:       true,
		Logger:                quiet{},
	}
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	err := srv.Serve(ln)
	if ctx.Err() != nil && (err == nil || errors.Is(err, net.ErrClosed)) {
		return nil
	}
	return err
}

// quiet drops what the library logs of connections that fault switches close.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}
