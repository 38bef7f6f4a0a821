package main

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// stages runs the components of the process in two groups, so that the front
// group, which serves callers and operators, can stop before the back group,
// on which it depends. failed is closed after the first failure of any
// component.
type stages struct {
	ctx       context.Context // cancelled by the first failure
	fail      context.CancelCauseFunc
	frontCtx  context.Context
	stopFront context.CancelFunc
	backCtx   context.Context
	stopBack  context.CancelFunc
	fronts    errgroup.Group
	backs     errgroup.Group
}

func newStages(ctx context.Context) *stages {
	s := &stages{}
	s.ctx, s.fail = context.WithCancelCause(ctx)
	s.frontCtx, s.stopFront = context.WithCancel(context.WithoutCancel(ctx))
	s.backCtx, s.stopBack = context.WithCancel(context.WithoutCancel(ctx))
	return s
}

// front starts a component that serves callers or operators.
func (s *stages) front(f func(context.Context) error) { s.start(s.frontCtx, &s.fronts, f) }

// back starts a component that the front group depends on.
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

// failed returns a channel that is closed after the first failure of a
// component, or when the context of newStages ends.
func (s *stages) failed() <-chan struct{} { return s.ctx.Done() }

// end stops both groups, the front group first, and returns an error of the
// front group or else of the back group.
func (s *stages) end() error {
	defer s.fail(nil)
	s.stopFront()
	frontErr := s.fronts.Wait()
	s.stopBack()
	backErr := s.backs.Wait()
	if frontErr != nil {
		return frontErr
	}
	return backErr
}
