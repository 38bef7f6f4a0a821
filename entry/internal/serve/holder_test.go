package serve

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestRunOfLostHolder kills or restarts the first holder of an idempotent
// request's record while the request runs. The run continues at its placer, so
// a second run must not start before the placers report that the first ended.
func TestRunOfLostHolder(t *testing.T) {
	tests := map[string]struct {
		between func(c *cell)
		entry   string // entry of the second attempt
		goesOn  bool   // the first run continues
		other   bool   // the second attempt has another id
		refuse  bool   // the second run is refused
		outcome wire.Outcome
		starts  int // of the request sent second
	}{
		"dead, second holder":           {between: killEntry("a1"), entry: "a2", goesOn: true, outcome: wire.Unknown, starts: 1},
		"dead, second holder, ended":    {between: killEntry("a1"), entry: "a2", outcome: wire.Done, starts: 2},
		"dead, second holder, refused":  {between: killEntry("a1"), entry: "a2", refuse: true, outcome: wire.Unknown, starts: 1},
		"restarted, refused":            {between: restartEntry("a1"), entry: "a1", refuse: true, outcome: wire.Unknown, starts: 1},
		"dead, other zone":              {between: killEntry("a1"), entry: "b1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"dead, other zone, ended":       {between: killEntry("a1"), entry: "b1", outcome: wire.Done, starts: 2},
		"dead, another request":         {between: killEntry("a1"), entry: "a2", goesOn: true, other: true, outcome: wire.Done, starts: 1},
		"restarted":                     {between: restartEntry("a1"), entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"restarted, ended":              {between: restartEntry("a1"), entry: "a1", outcome: wire.Done, starts: 2},
		"restarted, another request":    {between: restartEntry("a1"), entry: "a1", goesOn: true, other: true, outcome: wire.Done, starts: 1},
		"restarted one after the other": {between: both(restartEntry("a1"), restartEntry("a2")), entry: "b2", goesOn: true, outcome: wire.Unknown, starts: 1},
		"both restarted at once":        {between: restartBoth, entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"both restarted at once, ended": {between: restartBoth, entry: "a1", outcome: wire.Done, starts: 2},
		"second one dead before":        {between: both(killEntry("a2"), restartEntry("a1")), entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			id := c.ownIDHeldBy("a1")
			fields := `,"idempotent":true,"deadline":"4s","id":"` + id + `"`
			c.setScripts(script{runUntilCancelled: true})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error { return c.submitWithContext(ctx, "a1", fields) })
			defer func() { cancel(); _ = g.Wait() }()
			waitFor(t, func() bool { return c.starts("red~"+id) == 1 })
			c.placers[0].setRunning(tt.goesOn)
			c.placers[1].setRunning(tt.goesOn)
			tt.between(c)
			c.setScripts(script{answer: []byte("fine")})
			if tt.refuse {
				c.setScripts(script{refuse: wire.ReasonBusy})
			}
			second := fields // The first submission may still read fields.
			if tt.other {
				id += "-other"
				second = `,"idempotent":true,"deadline":"4s","id":"` + id + `"`
			}
			is.Equal(c.submit(tt.entry, second).outcome, tt.outcome)
			is.Equal(c.starts("red~"+id), tt.starts)
		})
	}
}
