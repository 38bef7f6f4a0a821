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
)

// settleTime lets a new deployment come to rest.
const settleTime = 8 * time.Second

// The measures, in the order in which they are taken. The last one stops the
// system.
const (
	latency  = "latency"
	overload = "goodput"
	loss     = "kill"
	rolling  = "replace"
	endpoint = "direct"
)

// Run measures one deployment and writes a line for each measure.
func Run(ctx context.Context, s Settings, w io.Writer) error {
	st, err := site.Open(ctx, s.Site)
	if st != nil {
		defer st.Close()
	}
	if err != nil {
		return err
	}
	rest(ctx, settleTime)
	c := newCaller(st)
	defer c.close()
	var g errgroup.Group
	pollCtx, stop := context.WithCancel(ctx)
	g.Go(func() error { return c.balancer.run(pollCtx) })
	err = measure(ctx, c, s, w)
	stop()
	return errors.Join(err, g.Wait())
}

func measure(ctx context.Context, c *caller, s Settings, w io.Writer) error {
	for _, m := range []struct {
		name string
		run  func(context.Context, *caller, Settings, io.Writer) error
	}{{latency, through}, {overload, goodput}, {loss, killed}, {rolling, replaced}, {endpoint, direct}} {
		if len(s.Only) > 0 && !slices.Contains(s.Only, m.name) {
			continue
		}
		if err := m.run(ctx, c, s, w); err != nil {
			return err
		}
	}
	return nil
}

// line writes what a tally holds.
func line(w io.Writer, what string, t *tally) {
	_, _ = fmt.Fprintf(w, "%s: %d of %d done, p50 %v, p99 %v%s\n", what, t.done(), t.sent, t.quantile(50), t.quantile(99), t.others())
}
