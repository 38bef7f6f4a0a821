package role

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

// Process runs the servers of one process of the stand-in.
type Process struct {
	settings *Settings
	log      *zap.Logger
	timer    *timer.Service
}

// New returns a Process with s, which must have passed its Check.
func New(s *Settings, log *zap.Logger) *Process {
	return &Process{settings: s, log: log, timer: timer.New()}
}

// Run serves until ctx ends or a server fails. An address that can't be used
// gives a *ListenError.
func (p *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.timer.Run(ctx) })
	var err error
	if p.settings.Role == Platform {
		err = p.startPlatform(ctx, g)
	} else {
		err = p.startEndpoints(ctx, g)
	}
	if err != nil {
		g.Go(func() error { return err })
	}
	return g.Wait()
}
