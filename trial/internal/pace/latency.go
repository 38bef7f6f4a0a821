package pace

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/cell"
)

const (
	// gentle is the rate of requests that measures latency, a second.
	gentle = 50
	// warmTime is how long requests go through the system before they count.
	warmTime = 3 * time.Second
	// directTerm is the term of the endpoint that is called directly.
	directTerm = time.Minute
	// holder is the name under which an endpoint is called directly.
	holder = "pace"
	// openTime bounds the wait for an endpoint that its owner released.
	openTime = 30 * time.Second
)

// through measures requests on their whole way, after some that let the
// placers take parts of the teams' upper limits.
func through(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	first, t := newTally(), newTally()
	for _, part := range []struct {
		span time.Duration
		into *tally
	}{{warmTime, first}, {s.Span, t}} {
		spanCtx, cancel := context.WithTimeout(ctx, part.span)
		c.stream(spanCtx, gentle, kind{deadline: deadline}, part.into)
		cancel()
	}
	line(w, "first requests through the system", first)
	return line(w, "latency through the system", t), nil
}

// direct stops the system, takes one executor over and calls it without the
// system in between, at the same rate.
func direct(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	for _, role := range []string{cell.RoleEntry, cell.RolePlacer} {
		for _, p := range c.site.Cell().ByRole(role) {
			c.site.Cell().Stop(p)
		}
	}
	client := point.NewClient()
	defer client.Close()
	address := executor(c.site.Cell())
	owner := point.Owner{Holder: holder, Epoch: uint64(time.Now().UnixNano())}
	reason := cell.Wait(ctx, openTime, func() string {
		if _, err := client.Open(ctx, address, point.Open{Owner: owner, Term: directTerm}); err != nil {
			return err.Error()
		}
		return ""
	})
	if reason != "" {
		return Count{}, &OpenError{Endpoint: address, Reason: reason}
	}
	t := newTally()
	tick := time.NewTicker(time.Second / gentle)
	defer tick.Stop()
	for n, end := 0, time.Now().Add(s.Span); time.Now().Before(end); n++ {
		<-tick.C
		t.add(call(ctx, client, address, owner, n))
	}
	return line(w, "latency direct", t), nil
}

func call(ctx context.Context, client *point.Client, address string, owner point.Owner, n int) served {
	s := served{sent: time.Now()}
	start := point.Start{Owner: owner, ID: "direct-" + strconv.Itoa(n), Attempt: 1, Kind: wire.Quick, Needs: needs(), Lease: directTerm,
		Body: []byte(fmt.Sprintf(`{"size":%d,"seed":%d}`, answerSize, n))}
	answer, err := client.Run(ctx, address, start)
	if err == nil {
		var sum int64
		sum, err = io.Copy(io.Discard, answer)
		s.done = err == nil && sum == answerSize
		_ = answer.Close()
	}
	s.took = time.Since(s.sent)
	if err != nil {
		s.reason = err.Error()
	}
	return s
}

func executor(c *cell.Cell) string {
	for _, e := range c.Endpoints() {
		if e.Kind == "executor" {
			return e.Address
		}
	}
	return ""
}

// OpenError reports an endpoint that can't be called directly.
type OpenError struct {
	Endpoint string
	Reason   string
}

// Error implements error.
func (e *OpenError) Error() string { return "executor " + e.Endpoint + ": " + e.Reason }
