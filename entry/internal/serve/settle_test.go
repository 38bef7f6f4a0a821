package serve

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestRunThatMayGoOnIsNotRepeated loses the stream of an idempotent request
// after its start: it is sent again only once the zone's placers have said
// that nothing of it runs any more.
func TestRunThatMayGoOnIsNotRepeated(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *fakePlacer)
		outcome wire.Outcome
		starts  int
	}{
		"nothing runs":               {prepare: func(*fakePlacer) {}, outcome: wire.Done, starts: 2},
		"it still runs":              {prepare: func(p *fakePlacer) { p.still(true) }, outcome: wire.Unknown, starts: 1},
		"a live placer says nothing": {prepare: func(p *fakePlacer) { p.still(false, "silent") }, outcome: wire.Unknown, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.placers[1].kill()
			c.placers[0].set(script{sent: true}, script{answer: []byte("fine")})
			tt.prepare(c.placers[0])
			c.entries["a1"].table.Failed("pb")
			g := c.submit("a1", `,"idempotent":true,"deadline":"2s"`)
			is.Equal(g.outcome, tt.outcome)
			is.Equal(c.placers[0].total(), tt.starts)
		})
	}
}

// TestNotRunSpeaksOfAllRuns retries an idempotent request under its own id
// after its first run was lost: a refusal of the second run doesn't make the
// request one that has not run.
func TestNotRunSpeaksOfAllRuns(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.placers[0].set(script{sent: true})
	c.placers[1].set(script{refuse: wire.ReasonNever})
	c.placers[0].still(true) // so that the first run isn't repeated at once
	fields := ownID(c, `,"id":"ID","idempotent":true,"deadline":"1s"`)
	is.Equal(c.submit("a1", fields).outcome, wire.Unknown)
	c.placers[0].set(script{refuse: wire.ReasonNever})
	c.placers[0].still(false)
	is.Equal(c.submit("a1", fields).outcome, wire.Unknown)
	is.Equal(c.placers[0].total(), 1)
}
