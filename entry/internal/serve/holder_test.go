package serve

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestRunOfLostHolder loses the first holder of an idempotent request's record
// while it runs. The run goes on at its placer, so a second one may only begin
// once the placers say that the first has ended.
func TestRunOfLostHolder(t *testing.T) {
	tests := map[string]struct {
		between func(c *cell)
		entry   string // of the second try
		goesOn  bool   // the first run
		other   bool   // another request is sent
		refuse  bool   // the second run is refused
		outcome wire.Outcome
		starts  int // of the request that is sent second
	}{
		"dead, second holder":           {between: killed("a1"), entry: "a2", goesOn: true, outcome: wire.Unknown, starts: 1},
		"dead, second holder, ended":    {between: killed("a1"), entry: "a2", outcome: wire.Done, starts: 2},
		"dead, second holder, refused":  {between: killed("a1"), entry: "a2", refuse: true, outcome: wire.Unknown, starts: 1},
		"restarted, refused":            {between: restarted("a1"), entry: "a1", refuse: true, outcome: wire.Unknown, starts: 1},
		"dead, other zone":              {between: killed("a1"), entry: "b1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"dead, other zone, ended":       {between: killed("a1"), entry: "b1", outcome: wire.Done, starts: 2},
		"dead, another request":         {between: killed("a1"), entry: "a2", goesOn: true, other: true, outcome: wire.Done, starts: 1},
		"restarted":                     {between: restarted("a1"), entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"restarted, ended":              {between: restarted("a1"), entry: "a1", outcome: wire.Done, starts: 2},
		"restarted, another request":    {between: restarted("a1"), entry: "a1", goesOn: true, other: true, outcome: wire.Done, starts: 1},
		"restarted one after the other": {between: both(restarted("a1"), restarted("a2")), entry: "b2", goesOn: true, outcome: wire.Unknown, starts: 1},
		"both restarted at once":        {between: bothRestarted, entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
		"both restarted at once, ended": {between: bothRestarted, entry: "a1", outcome: wire.Done, starts: 2},
		"second one dead before":        {between: both(killed("a2"), restarted("a1")), entry: "a1", goesOn: true, outcome: wire.Unknown, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			id := c.idAt("a1")
			fields := `,"idempotent":true,"deadline":"4s","id":"` + id + `"`
			c.script(script{hang: true})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error { return c.abandoned(ctx, "a1", fields) })
			defer func() { cancel(); _ = g.Wait() }()
			until(t, func() bool { return c.starts("red~"+id) == 1 })
			c.placers[0].still(tt.goesOn)
			c.placers[1].still(tt.goesOn)
			tt.between(c)
			c.script(script{answer: []byte("fine")})
			if tt.refuse {
				c.script(script{refuse: wire.ReasonBusy})
			}
			if tt.other {
				id += "-other"
				fields = `,"idempotent":true,"deadline":"4s","id":"` + id + `"`
			}
			is.Equal(c.submit(tt.entry, fields).outcome, tt.outcome)
			is.Equal(c.starts("red~"+id), tt.starts)
		})
	}
}
