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

// TestQuickRequestFollowsItsExecutor covers a quick request that is queued at a
// placer whose last executor leaves or moves to another placer. The entry must
// get an answer immediately, not at the request's deadline, so that it can send
// the request elsewhere.
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
			e := z.addEndpoint("e0", point.Executor, rackOfPlacer1(t, point.Executor), slots(1))
			first := z.start(0)
			z.eventually("the executor is owned", z.owned(1))
			var g errgroup.Group
			g.Go(func() error {
				return z.sendRequest(first, quickRequest("a.long", engine.Body{Work: setup.Duration(5 * time.Second)})).err
			})
			z.eventually("it is full", func() bool { return e.Running() == 1 })
			answers := make(chan result, 1)
			g.Go(func() error { answers <- z.sendRequest(first, quickRequest("a.waits", engine.Body{})); return nil })
			z.eventually("a request waits", func() bool { return first.server.Busy() == 2 })
			tt.lose(z, e)
			z.eventually("the waiting request is refused", func() bool { return len(answers) == 1 })
			waited := <-answers
			is.NoErr(waited.err)
			is.Equal(waited.final.Outcome, wire.NotRun)
			is.Equal(waited.final.Reason, wire.ReasonBusy)
			is.Equal(z.count(engine.Began, "a.waits"), 0)
			_ = g.Wait() // The outcome of the long request doesn't matter here.
		})
	}
}
