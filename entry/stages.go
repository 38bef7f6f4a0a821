package main

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// stages runs the parts of the process in two groups, so that the one that
// faces callers can end before the one that it depends on. The first failure
// of any part ends both.
type stages struct {
	ctx       context.Context // ends with the first failure
	fail      context.CancelCauseFunc
	frontCtx  context.Context
	frontStop context.CancelFunc
	backCtx   context.Context
	backStop  context.CancelFunc
	fronts    errgroup.Group
	backs     errgroup.Group
}

func newStages(ctx context.Context) *stages {
	s := &stages{}
	s.ctx, s.fail = context.WithCancelCause(ctx)
	s.frontCtx, s.frontStop = context.WithCancel(context.WithoutCancel(ctx))
	s.backCtx, s.backStop = context.WithCancel(context.WithoutCancel(ctx))
	return s
}

// front starts a part that faces callers.
func (s *stages) front(f func(context.Context) error) { s.start(s.frontCtx, &s.fronts, f) }

// back starts a part that others depend on.
func (s *stages) back(f func(context.Context) error) { s.start(s.backCtx, &s.backs, f) }

func (s *stages) start(ctx context.Context, g *errgroup.Group, f func(context.Context) error) {
	g.Go(func() error {
		err := f(ctx)
		if err != nil {
			s.fail(err)
		}
		return err
	})
}

// failed is closed with the first failure.
func (s *stages) failed() <-chan struct{} { return s.ctx.Done() }

// end ends both groups, the front first, and returns the first failure.
func (s *stages) end() error {
	defer s.fail(nil)
	s.frontStop()
	frontErr := s.fronts.Wait()
	s.backStop()
	backErr := s.backs.Wait()
	if frontErr != nil {
		return frontErr
	}
	return backErr
}
