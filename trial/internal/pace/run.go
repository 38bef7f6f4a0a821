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

// settleTime lets a new deployment come to rest.
const settleTime = 8 * time.Second

// The measures, in the order in which they are taken. The last one stops the
// system.
const (
	Latency = "latency"
	Goodput = "goodput"
	Fair    = "fair"
	Slow    = "slow"
	Kill    = "kill"
	Replace = "replace"
	Direct  = "direct"
)

// Run measures one deployment, writes a line for each measure and returns the
// counts of the requests of each, by its name.
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
	counts, err := measure(ctx, c, s, w)
	stop()
	return counts, errors.Join(err, g.Wait())
}

func measure(ctx context.Context, c *caller, s Settings, w io.Writer) (map[string]Count, error) {
	counts := make(map[string]Count)
	for _, m := range []struct {
		name string
		run  func(context.Context, *caller, Settings, io.Writer) (Count, error)
	}{{Latency, through}, {Goodput, goodput}, {Fair, fair}, {Slow, slow}, {Kill, killed}, {Replace, replaced}, {Direct, direct}} {
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

// line writes what a tally holds.
func line(w io.Writer, what string, t *tally) Count {
	_, _ = fmt.Fprintf(w, "%s: %d of %d done, p50 %v, p99 %v%s\n", what, t.done(), t.sent, t.quantile(50), t.quantile(99), t.others()+t.refusals())
	return Count{Sent: t.sent, Done: t.done()}
}
