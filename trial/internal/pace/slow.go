package pace

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/cell"
)

const (
	// shortWork is the running time of requests when no executor is slow.
	shortWork = 50 * time.Millisecond
	// extraDelay is added by the slow executor, which makes it 10 times slower.
	extraDelay = 9 * shortWork
)

// measureSlow measures requests before, while and after one executor is slow.
func measureSlow(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	address := firstExecutor(c.site.Cell())
	for _, phase := range []struct {
		what string
		by   time.Duration
	}{{"no executor slow", 0}, {"one executor slow", extraDelay}, {"none slow any more", 0}} {
		if err := c.site.SetEndpointFaults(address, engine.Faults{Slow: phase.by}); err != nil {
			return n, err
		}
		t := newTally()
		spanCtx, cancel := context.WithTimeout(ctx, s.Span)
		c.stream(spanCtx, s.Rate, profile{work: shortWork, deadline: defaultDeadline}, t)
		cancel()
		n = printTally(w, fmt.Sprintf("%s of %d", phase.what, countExecutors(c.site.Cell())), t)
	}
	return n, nil
}

func countExecutors(c *cell.Cell) int {
	n := 0
	for _, e := range c.Endpoints() {
		if e.Kind == "executor" {
			n++
		}
	}
	return n
}
