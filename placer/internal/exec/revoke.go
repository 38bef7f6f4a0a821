package exec

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
)

const (
	// revokePeriod is the time between two attempts to revoke abandoned
	// starts.
	revokePeriod = time.Second
	// maxRevokeCalls is the maximum number of concurrent calls of Watch.
	maxRevokeCalls = 8
)

// RevokeAbandoned revokes abandoned starts periodically, until their endpoints have
// answered or are no longer known. It returns nil when ctx ends.
func (r *Runner) RevokeAbandoned(ctx context.Context, known func(endpoint string) bool) error {
	for r.timer.Sleep(ctx, revokePeriod) == nil {
		var g errgroup.Group
		g.SetLimit(maxRevokeCalls)
		for _, p := range r.pending.abandoned() {
			if !known(p.order.Endpoint) {
				r.pending.remove(p)
				continue
			}
			g.Go(func() error { r.revoke(ctx, p); return nil })
		}
		_ = g.Wait()
	}
	return nil
}

// revokeAll revokes all pending starts of a request and reports whether none of
// them can begin any more and none of their tasks runs.
func (r *Runner) revokeAll(ctx context.Context, request string) bool {
	ok := true
	for _, p := range r.pending.of(request) {
		ok = r.revoke(ctx, p) && ok
	}
	return ok
}

// revoke stops a start at its endpoint and reports whether it can no longer
// begin and its task doesn't run. An endpoint that has answered a stop remembers
// it and refuses the start later; an endpoint that rejects the owner of the
// start rejects the start as well. A task that has begun may take a while to
// end after the stop.
func (r *Runner) revoke(ctx context.Context, p *pendingStart) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	if !r.sendStop(ctx, p) {
		return false
	}
	view, err := r.client.View(ctx, p.address)
	if err != nil {
		return false
	}
	if t := findTask(&view, p.stop.ID, p.stop.Attempt); t != nil && !t.State.Ended() {
		return false
	}
	r.queue.Ended(p.order, false)
	r.pending.remove(p)
	return true
}

// sendStop sends a stop for the start and reports whether the endpoint has
// answered it or has rejected its owner.
func (r *Runner) sendStop(ctx context.Context, p *pendingStart) bool {
	err := r.client.Stop(ctx, p.address, p.stop)
	var fenced *point.FencedError
	return err == nil || errors.As(err, &fenced)
}
