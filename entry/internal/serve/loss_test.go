package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

func TestDeadlineWhileItRuns(t *testing.T) {
	tests := map[string]struct {
		script  script
		outcome wire.Outcome
		reason  string
		starts  int
	}{
		"waiting at the placer": {script: script{queueUntilCancelled: true}, outcome: wire.NotRun, reason: wire.ReasonDeadline},
		"stopped by the placer": {script: script{runUntilCancelled: true}, outcome: wire.Failed, reason: wire.ReasonDeadline, starts: 1},
		"placer says nothing":   {script: script{answer: []byte("x"), delay: 4 * time.Second}, outcome: wire.Unknown, reason: wire.ReasonDeadline, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.setScripts(tt.script)
			g := c.submit("a1", `,"deadline":"300ms"`)
			is.Equal(g.outcome, tt.outcome)
			is.Equal(g.reason, tt.reason)
			is.Equal(c.placers[0].total()+c.placers[1].total(), tt.starts)
		})
	}
}

func TestTooManyWait(t *testing.T) {
	is := is.New(t)
	c := newCell(t, func(c *cell) { c.running = 1 })
	c.setScripts(script{answer: []byte("x"), delay: 100 * time.Millisecond})
	var g errgroup.Group
	answers := make([]response, 100)
	for i := range answers {
		g.Go(func() error { answers[i] = c.submit("a1", `,"deadline":"1s"`); return nil })
	}
	is.NoErr(g.Wait())
	ran := 0
	for _, a := range answers {
		if a.outcome == wire.Done {
			ran++
			continue
		}
		is.Equal(a.outcome, wire.NotRun)
	}
	is.True(ran >= 1)
	is.Equal(c.placers[0].total()+c.placers[1].total(), ran) // No request reported as "not run" has run.
}

// TestLinkBetweenEntriesLost kills the entry that runs a forwarded request
// after the request has started. The other holder of the record must report
// that it may have run, and must not start it again.
func TestLinkBetweenEntriesLost(t *testing.T) {
	tests := map[string]struct {
		cut     []string
		outcome wire.Outcome
	}{
		"first holder dies":    {outcome: wire.Unknown},
		"link back to it soon": {cut: []string{}, outcome: wire.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.setScripts(script{answer: []byte("fine"), delay: 700 * time.Millisecond})
			id := c.ownIDHeldBy("a1")
			var g response
			var group errgroup.Group
			group.Go(func() error { g = c.submit("b1", `,"id":"`+id+`"`); return nil })
			waitFor(t, func() bool { return c.starts("red~"+id) == 1 })
			if tt.cut == nil {
				c.entries["a1"].kill()
			}
			is.NoErr(group.Wait())
			is.Equal(g.outcome, tt.outcome)
			is.Equal(c.starts("red~"+id), 1)
		})
	}
}

// TestTwoFaults injects faults at two steps of a request's path at once.
func TestTwoFaults(t *testing.T) {
	tests := map[string]struct {
		fields  string
		prepare func(c *cell)
		outcome wire.Outcome
		starts  int
	}{
		"placer dead and peer dead, once":          {prepare: both(placerDead, peerDown), outcome: wire.Done, starts: 1},
		"placer cut off, platform down, once":      {prepare: both(placerCut, platformDown), outcome: wire.Done, starts: 1},
		"placer dead, platform loses, once":        {prepare: both(placerDead, platformLosesAnswers), outcome: wire.Done, starts: 1},
		"placers cut off, peer dead, once":         {prepare: both(peerDown, placersCut), outcome: wire.NotRun},
		"peer dead, platform down, idempotent":     {fields: `,"idempotent":true`, prepare: both(peerDown, platformDown), outcome: wire.Done, starts: 1},
		"own zone refuses, peer cut off, once":     {prepare: both(peerCut, ownZoneRefuses(wire.ReasonBusy)), outcome: wire.Done, starts: 1},
		"own zone leaving, platform down, own id":  {fields: `,"id":"ID"`, prepare: both(platformDown, ownZoneRefuses(wire.ReasonLeaving)), outcome: wire.Done, starts: 1},
		"first holder and platform down, own id":   {fields: `,"id":"IDa2"`, prepare: both(peerDown, platformDown), outcome: wire.Unknown},
		"first holder down, platform loses answer": {fields: `,"id":"IDa2"`, prepare: both(peerDown, platformLosesAnswers), outcome: wire.Done, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			tt.prepare(c)
			g := c.submit("a1", ownID(c, tt.fields))
			is.Equal(g.outcome, tt.outcome)
			is.Equal(c.placers[0].total()+c.placers[1].total(), tt.starts)
		})
	}
}
