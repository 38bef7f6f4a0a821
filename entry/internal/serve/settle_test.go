package serve

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestRunThatMayGoOnIsNotRepeated breaks the stream of an idempotent request
// after its start. The request must not be sent again before all placers of
// the zone report that it no longer runs.
func TestRunThatMayGoOnIsNotRepeated(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *fakePlacer)
		outcome wire.Outcome
		starts  int
	}{
		"nothing runs":               {prepare: func(*fakePlacer) {}, outcome: wire.Done, starts: 2},
		"it still runs":              {prepare: func(p *fakePlacer) { p.setRunning(true) }, outcome: wire.Unknown, starts: 1},
		"a live placer says nothing": {prepare: func(p *fakePlacer) { p.setRunning(false, "silent") }, outcome: wire.Unknown, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.placers[1].kill()
			c.placers[0].setScripts(script{loseAfterSent: true}, script{answer: []byte("fine")})
			tt.prepare(c.placers[0])
			c.entries["a1"].table.Failed("pb")
			g := c.submit("a1", `,"idempotent":true,"deadline":"2s"`)
			is.Equal(g.outcome, tt.outcome)
			is.Equal(c.placers[0].total(), tt.starts)
		})
	}
}

// TestNotRunSpeaksOfAllRuns retries an idempotent request with the caller's own
// id after the outcome of its first run was lost. If the second run is refused
// the outcome must be "unknown", not "not run".
func TestNotRunSpeaksOfAllRuns(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.placers[0].setScripts(script{loseAfterSent: true})
	c.placers[1].setScripts(script{refuse: wire.ReasonNever})
	c.placers[0].setRunning(true) // prevents a retry within the first submission
	fields := ownID(c, `,"id":"ID","idempotent":true,"deadline":"1s"`)
	is.Equal(c.submit("a1", fields).outcome, wire.Unknown)
	c.placers[0].setScripts(script{refuse: wire.ReasonNever})
	c.placers[0].setRunning(false)
	is.Equal(c.submit("a1", fields).outcome, wire.Unknown)
	is.Equal(c.placers[0].total(), 1)
}
