package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// TestQuickRequestFollowsItsExecutor is the case that a quick request waits at
// a placer whose last executor goes to another one or leaves. Its entry has to
// hear of it at once, not when the request's deadline has passed.
func TestQuickRequestFollowsItsExecutor(t *testing.T) {
	tests := map[string]struct {
		lose func(z *zone, e *engine.Endpoint)
	}{
		"goes to another placer": {lose: func(z *zone, _ *engine.Endpoint) { z.start(1) }},
		"leaves":                 {lose: func(_ *zone, e *engine.Endpoint) { e.SetFaults(engine.Faults{Leaving: true}) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			e := z.endpoint("e0", point.Executor, rackOf(t, point.Executor), slots(1))
			first := z.start(0)
			z.eventually("the executor is owned", z.owned(1))
			var g errgroup.Group
			g.Go(func() error {
				return z.place(first, quickRequest("a.long", engine.Body{Work: setup.Duration(5 * time.Second)})).err
			})
			z.eventually("it is full", func() bool { return e.Running() == 1 })
			answers := make(chan result, 1)
			g.Go(func() error { answers <- z.place(first, quickRequest("a.waits", engine.Body{})); return nil })
			z.eventually("a request waits", func() bool { return first.server.Busy() == 2 })
			tt.lose(z, e)
			z.eventually("the waiting request is refused", func() bool { return len(answers) == 1 })
			waited := <-answers
			is.NoErr(waited.err)
			is.Equal(waited.final.Outcome, wire.NotRun)
			is.Equal(waited.final.Reason, wire.ReasonBusy)
			is.Equal(z.count(engine.Began, "a.waits"), 0)
			_ = g.Wait() // What becomes of the long one isn't the matter here.
		})
	}
}
