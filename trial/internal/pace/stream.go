package pace

import (
	"context"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

// maxInFlight bounds the requests in progress at a time.
const maxInFlight = 4000

// stream sends requests at a constant rate until ctx is done, independent of the
// replies (open loop), and waits for the results of all. At most maxInFlight are
// in progress.
func (c *caller) stream(ctx context.Context, perSecond float64, p profile, t *tally) {
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var g errgroup.Group
	g.SetLimit(maxInFlight)
	for limiter.Wait(ctx) == nil {
		g.Go(func() error {
			t.add(c.send(p))
			return nil
		})
	}
	_ = g.Wait()
}
