package exec

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
)

const (
	// forbidPeriod is the time between two looks for starts whose runs were
	// given up.
	forbidPeriod = time.Second
	// forbidCalls bounds how many endpoints are asked at a time.
	forbidCalls = 8
)

// Watch forbids the starts whose runs were given up, until their endpoints
// have answered or are no longer known. It returns nil when ctx ends.
func (r *Runner) Watch(ctx context.Context, known func(endpoint string) bool) error {
	for r.timer.Sleep(ctx, forbidPeriod) == nil {
		var g errgroup.Group
		g.SetLimit(forbidCalls)
		for _, p := range r.starts.givenUp() {
			if !known(p.order.Endpoint) {
				r.starts.drop(p)
				continue
			}
			g.Go(func() error { r.forbid(ctx, p); return nil })
		}
		_ = g.Wait()
	}
	return nil
}

// forbidAll forbids all starts of a request and reports whether none of them
// can begin any more.
func (r *Runner) forbidAll(ctx context.Context, request string) bool {
	ok := true
	for _, p := range r.starts.of(request) {
		ok = r.forbid(ctx, p) && ok
	}
	return ok
}

// forbid reports whether a start can't begin any more: the endpoint has
// answered a stop of it, which it remembers, or refuses the owner under which
// it was sent, and with it the start. A task that has begun is asked to end,
// and may run on for a while.
func (r *Runner) forbid(ctx context.Context, p *pending) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if !r.stopped(ctx, p) {
		return false
	}
	view, err := r.client.View(ctx, p.address)
	if err != nil {
		return false
	}
	if t := find(&view, p.stop.ID, p.stop.Attempt); t != nil && !t.State.Ended() {
		return false
	}
	r.queue.Ended(p.order, false)
	r.starts.drop(p)
	return true
}

// stopped reports whether the endpoint has answered a stop of the start.
func (r *Runner) stopped(ctx context.Context, p *pending) bool {
	err := r.client.Stop(ctx, p.address, p.stop)
	var fenced *point.FencedError
	return err == nil || errors.As(err, &fenced)
}
