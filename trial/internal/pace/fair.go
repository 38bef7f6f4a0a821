package pace

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/wait"
)

const (
	// smallLoad is the load of the team that doesn't flood, as a fraction of the
	// capacity. It is below the team's share.
	smallLoad = 0.05
	// Indexes in the caller's list of keys: floodKey is that of a team whose upper
	// limit is far above the capacity, otherKey that of a team with a small share.
	floodKey, otherKey = 1, 0
)

// measureFair measures two teams at once: one offers multiples of the capacity,
// the other a small load. Callers of both retry refused requests.
func measureFair(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	capacity := capacity(s)
	for _, multiple := range []float64{2, 4} {
		flood, other := newTally(), newTally()
		streamCtx, cancel := context.WithTimeout(ctx, s.Span)
		began := time.Now()
		var g errgroup.Group
		g.Go(func() error {
			c.stream(streamCtx, capacity*multiple, profile{work: workTime, deadline: shortDeadline, retry: true, secret: c.secrets[floodKey]}, flood)
			return nil
		})
		g.Go(func() error {
			c.stream(streamCtx, capacity*smallLoad, profile{work: workTime, deadline: shortDeadline, retry: true, secret: c.secrets[otherKey]}, other)
			return nil
		})
		_ = g.Wait()
		cancel()
		end := began.Add(s.Span)
		_, _ = fmt.Fprintf(w, "a team floods with %.1f times the capacity, another offers %.2f: goodput %.2f of %.0f a second\n",
			multiple, smallLoad, float64(flood.doneBefore(end)+other.doneBefore(end))/s.Span.Seconds()/capacity, capacity)
		printTally(w, "  the flood", flood)
		n = printTally(w, "  the other", other)
		wait.For(ctx, quietPeriod)
	}
	return n, nil
}
