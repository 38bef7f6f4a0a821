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
	// shortWork is how long a request of the runs with a slow executor uses it.
	shortWork = 50 * time.Millisecond
	// slowBy is what the slow one adds: it answers 10 times slower.
	slowBy = 9 * shortWork
)

// slow measures requests while all executors answer alike, while one is slow,
// and after it has become fast again.
func slow(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	var n Count
	address := executor(c.site.Cell())
	for _, part := range []struct {
		what string
		by   time.Duration
	}{{"no executor slow", 0}, {"one executor slow", slowBy}, {"none slow any more", 0}} {
		if err := c.site.SetEndpointFaults(address, engine.Faults{Slow: part.by}); err != nil {
			return n, err
		}
		t := newTally()
		spanCtx, cancel := context.WithTimeout(ctx, s.Span)
		c.stream(spanCtx, s.Rate, kind{work: shortWork, deadline: deadline}, t)
		cancel()
		n = line(w, fmt.Sprintf("%s of %d", part.what, executors(c.site.Cell())), t)
	}
	return n, nil
}

func executors(c *cell.Cell) int {
	n := 0
	for _, e := range c.Endpoints() {
		if e.Kind == "executor" {
			n++
		}
	}
	return n
}
