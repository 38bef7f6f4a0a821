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
	// modest is the part of the capacity that the team asks for that doesn't
	// flood. It is below its share.
	modest = 0.05
	// large and small are the places in the list of keys of a team whose upper
	// limit is far above the capacity, and of one with a small share.
	large, small = 1, 0
)

// fair lets one team offer multiples of the capacity, from callers that send
// again what was refused, beside one that offers little.
func fair(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	capacity := capacity(s)
	for _, times := range []float64{2, 4} {
		flood, other := newTally(), newTally()
		streamCtx, cancel := context.WithTimeout(ctx, s.Span)
		began := time.Now()
		var g errgroup.Group
		g.Go(func() error {
			c.stream(streamCtx, capacity*times, kind{work: work, deadline: patience, again: true, secret: c.secrets[large]}, flood)
			return nil
		})
		g.Go(func() error {
			c.stream(streamCtx, capacity*modest, kind{work: work, deadline: patience, again: true, secret: c.secrets[small]}, other)
			return nil
		})
		_ = g.Wait()
		cancel()
		end := began.Add(s.Span)
		_, _ = fmt.Fprintf(w, "a team floods with %.1f times the capacity, another offers %.2f: goodput %.2f of %.0f a second\n",
			times, modest, float64(flood.before(end)+other.before(end))/s.Span.Seconds()/capacity, capacity)
		line(w, "  the flood", flood)
		n = line(w, "  the other", other)
		wait.For(ctx, calm)
	}
	return n, nil
}
