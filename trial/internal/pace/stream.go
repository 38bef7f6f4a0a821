package pace

import (
	"context"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// inFlight bounds the requests that wait at a time.
const inFlight = 4000

// stream sends requests at a steady rate until ctx ends, whatever becomes of
// them, and waits for all.
func (c *caller) stream(ctx context.Context, perSecond float64, k kind, t *tally) {
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var g errgroup.Group
	g.SetLimit(inFlight)
	for limiter.Wait(ctx) == nil {
		g.Go(func() error {
			t.add(c.send(k))
			return nil
		})
	}
	_ = g.Wait()
}
