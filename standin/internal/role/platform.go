package role

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/serve"
)

// startPlatform starts servers for all addresses of the platform. They share one
// store.
func (p *Process) startPlatform(ctx context.Context, g *errgroup.Group) error {
	s := p.settings
	memory := store.New(store.WithTimer(p.timer),
		store.WithHostLag(time.Duration(s.Lag.Hosts)), store.WithObjectLag(time.Duration(s.Lag.Objects)))
	for _, address := range append([]string{s.Listen}, s.Doors...) {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return &ListenError{Address: address, Err: err}
		}
		handler := serve.NewPartitionHandler(serve.NewPlatform(memory).Handle)
		g.Go(func() error { return serve.Run(ctx, ln, handler.Handle, 0) })
		p.log.Info("serving platform", zap.String("address", address))
	}
	return nil
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }
