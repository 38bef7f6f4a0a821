package pace

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/site"
	"github.com/balsamford/balsamford/trial/wait"
)

// settleTime is the time between the start of a deployment and the first measure.
const settleTime = 8 * time.Second

// The measures, in the order in which they run. Direct comes last, since it stops
// all entries and placers.
const (
	Latency = "latency"
	Goodput = "goodput"
	Fair    = "fair"
	Slow    = "slow"
	Kill    = "kill"
	Replace = "replace"
	Direct  = "direct"
)

// Run starts a deployment, runs the measures, writes their results to w and
// returns the request counts by name of the measure. For a measure with several
// loads, the count is that of the last.
func Run(ctx context.Context, s Settings, w io.Writer) (map[string]Count, error) {
	st, err := site.Open(ctx, s.Site)
	if st != nil {
		defer st.Close()
	}
	if err != nil {
		return nil, err
	}
	wait.For(ctx, settleTime)
	c := newCaller(st)
	defer c.close()
	var g errgroup.Group
	pollCtx, stop := context.WithCancel(ctx)
	g.Go(func() error { return c.balancer.run(pollCtx) })
	counts, err := runMeasures(ctx, c, s, w)
	stop()
	return counts, errors.Join(err, g.Wait())
}

func runMeasures(ctx context.Context, c *caller, s Settings, w io.Writer) (map[string]Count, error) {
	counts := make(map[string]Count)
	for _, m := range []struct {
		name string
		run  func(context.Context, *caller, Settings, io.Writer) (Count, error)
	}{{Latency, measureLatency}, {Goodput, measureGoodput}, {Fair, measureFair}, {Slow, measureSlow}, {Kill, measureKill}, {Replace, measureReplace}, {Direct, measureDirect}} {
		if len(s.Only) > 0 && !slices.Contains(s.Only, m.name) {
			continue
		}
		n, err := m.run(ctx, c, s, w)
		if err != nil {
			return counts, err
		}
		counts[m.name] = n
	}
	return counts, nil
}

// printTally writes a line with the counts, the latencies and the failures of a
// tally.
func printTally(w io.Writer, what string, t *tally) Count {
	_, _ = fmt.Fprintf(w, "%s: %d of %d done, p50 %v, p99 %v%s\n", what, t.done(), t.sent, t.quantile(50), t.quantile(99), t.failures()+t.refusalText())
	return Count{Sent: t.sent, Done: t.done()}
}
