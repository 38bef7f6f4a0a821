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
	// latencyRate is the rate of the latency measures, in requests per second.
	latencyRate = 50
	// warmupTime is how long requests are sent before the measurement.
	warmupTime = 3 * time.Second
	// directTerm is the term for which an endpoint is owned to call it directly.
	directTerm = time.Minute
	// directHolder is the owner's name in direct calls.
	directHolder = "pace"
	// openTimeout bounds the attempts to take an endpoint over after its owner has
	// released it.
	openTimeout = 30 * time.Second
)

// measureLatency measures requests through the whole system. A warm-up comes
// first, in which the placers obtain their parts of the teams' upper limits.
func measureLatency(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	warmup, t := newTally(), newTally()
	for _, phase := range []struct {
		span time.Duration
		into *tally
	}{{warmupTime, warmup}, {s.Span, t}} {
		spanCtx, cancel := context.WithTimeout(ctx, phase.span)
		c.stream(spanCtx, latencyRate, profile{deadline: defaultDeadline}, phase.into)
		cancel()
	}
	printTally(w, "first requests through the system", warmup)
	return printTally(w, "latency through the system", t), nil
}

// measureDirect stops all entries and placers, takes one executor over and calls
// it directly at the same rate, as the baseline of measureLatency.
func measureDirect(ctx context.Context, c *caller, s Settings, w io.Writer) (Count, error) {
	for _, role := range []string{cell.RoleEntry, cell.RolePlacer} {
		for _, p := range c.site.Cell().ByRole(role) {
			c.site.Cell().Stop(p)
		}
	}
	client := point.NewClient()
	defer client.Close()
	address := firstExecutor(c.site.Cell())
	owner := point.Owner{Holder: directHolder, Epoch: uint64(time.Now().UnixNano())}
	reason := cell.Wait(ctx, openTimeout, func() string {
		if _, err := client.Open(ctx, address, point.Open{Owner: owner, Term: directTerm}); err != nil {
			return err.Error()
		}
		return ""
	})
	if reason != "" {
		return Count{}, &OpenError{Endpoint: address, Reason: reason}
	}
	t := newTally()
	tick := time.NewTicker(time.Second / latencyRate)
	defer tick.Stop()
	for n, end := 0, time.Now().Add(s.Span); time.Now().Before(end); n++ {
		<-tick.C
		t.add(callDirectly(ctx, client, address, owner, n))
	}
	return printTally(w, "latency direct", t), nil
}

func callDirectly(ctx context.Context, client *point.Client, address string, owner point.Owner, n int) result {
	res := result{sent: time.Now()}
	start := point.Start{Owner: owner, ID: "direct-" + strconv.Itoa(n), Attempt: 1, Kind: wire.Quick, Needs: needs(), Lease: directTerm,
		Body: []byte(fmt.Sprintf(`{"size":%d,"seed":%d}`, answerBytes, n))}
	answer, err := client.Run(ctx, address, start)
	if err == nil {
		var sum int64
		sum, err = io.Copy(io.Discard, answer)
		res.done = err == nil && sum == answerBytes
		_ = answer.Close()
	}
	res.elapsed = time.Since(res.sent)
	if err != nil {
		res.reason = err.Error()
	}
	return res
}

func firstExecutor(c *cell.Cell) string {
	for _, e := range c.Endpoints() {
		if e.Kind == "executor" {
			return e.Address
		}
	}
	return ""
}

// OpenError reports an endpoint that could not be taken over for direct calls.
type OpenError struct {
	Endpoint string
	Reason   string
}

// Error implements error.
func (e *OpenError) Error() string { return "executor " + e.Endpoint + ": " + e.Reason }
