package role

import (
	"context"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

// Process is one running process of the stand-in.
type Process struct {
	settings *Settings
	log      *zap.Logger
	timer    *timer.Service
}

// New returns a Process with checked settings.
func New(s *Settings, log *zap.Logger) *Process {
	return &Process{settings: s, log: log, timer: timer.New()}
}

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.timer.Run(ctx) })
	var err error
	if p.settings.Role == Platform {
		err = p.platform(ctx, g)
	} else {
		err = p.endpoints(ctx, g)
	}
	if err != nil {
		g.Go(func() error { return err })
	}
	return g.Wait()
}
