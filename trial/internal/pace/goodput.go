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
	// workTime is how long a request of the overload measures runs on an endpoint.
	workTime = 200 * time.Millisecond
	// shortDeadline is the deadline of requests of the overload measures.
	shortDeadline = time.Second
)

// measureGoodput measures how many requests are done when the offered load is a
// multiple of the executors' capacity. Callers retry refused requests.
func measureGoodput(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	capacity := capacity(s)
	for _, multiple := range []float64{0.5, 1, 2, 4} {
		t := newTally()
		before := cpuTimes(c.site.Cell())
		streamCtx, cancel := context.WithTimeout(ctx, s.Span)
		began := time.Now()
		c.stream(streamCtx, capacity*multiple, profile{work: workTime, deadline: shortDeadline, retry: true}, t)
		cancel()
		after := cpuTimes(c.site.Cell())
		_, _ = fmt.Fprintf(w, "goodput at %.1f times: %.2f of %.0f a second; a done request took %v of entries, %v of placers\n",
			multiple, float64(t.doneBefore(began.Add(s.Span)))/s.Span.Seconds()/capacity, capacity,
			perRequest(after[cell.RoleEntry]-before[cell.RoleEntry], t.done()), perRequest(after[cell.RolePlacer]-before[cell.RolePlacer], t.done()))
		n = printTally(w, "  callers", t)
		wait.For(ctx, quietPeriod)
	}
	return n, nil
}

// capacity returns how many requests of workTime all executors together can run
// per second.
func capacity(s Settings) float64 {
	spec := s.Site.Spec
	return float64(int(spec.Executor.Slots)*spec.Executors*len(spec.Zones)) / workTime.Seconds()
}
