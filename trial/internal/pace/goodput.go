package pace

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/wait"
)

const (
	// work is how long a request of the goodput runs uses an endpoint.
	work = 200 * time.Millisecond
	// patience is how long their callers wait.
	patience = time.Second
)

// goodput offers multiples of what the executors can run, from callers that
// send again what was refused.
func goodput(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	capacity := capacity(s)
	for _, times := range []float64{0.5, 1, 2, 4} {
		t := newTally()
		before := usage(c.site.Cell())
		streamCtx, cancel := context.WithTimeout(ctx, s.Span)
		began := time.Now()
		c.stream(streamCtx, capacity*times, kind{work: work, deadline: patience, again: true}, t)
		cancel()
		after := usage(c.site.Cell())
		_, _ = fmt.Fprintf(w, "goodput at %.1f times: %.2f of %.0f a second; a done request took %v of entries, %v of placers\n",
			times, float64(t.before(began.Add(s.Span)))/s.Span.Seconds()/capacity, capacity,
			each(after[cell.RoleEntry]-before[cell.RoleEntry], t.done()), each(after[cell.RolePlacer]-before[cell.RolePlacer], t.done()))
		n = line(w, "  callers", t)
		wait.For(ctx, calm)
	}
	return n, nil
}

// capacity returns how many requests of the goodput runs all executors can
// run in a second.
func capacity(s Settings) float64 {
	spec := s.Site.Spec
	return float64(int(spec.Executor.Slots)*spec.Executors*len(spec.Zones)) / work.Seconds()
}
