package serve

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestFaultMatrix injects each kind of fault at each step of a quick request's
// path and checks the outcome and the number of starts. Rows with "once" in
// their name are requests that aren't idempotent.
func TestFaultMatrix(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 32<<10)
	good := script{answer: []byte("fine")}
	const own, twice = `,"id":"ID"`, `,"idempotent":true`
	tests := map[string]struct {
		fields  string
		scripts []script // for successive requests at each placer
		prepare func(c *cell)
		outcome wire.Outcome
		reason  string
		starts  int
		torn    bool // the answer is cut short, which the caller can detect
	}{
		"recorded, peer down, once":                      {prepare: func(c *cell) { c.entries["a2"].kill() }, outcome: wire.Done, starts: 1},
		"recorded, platform down, once":                  {prepare: platformDown, outcome: wire.Done, starts: 1},
		"recorded, peer and platform down, once":         {prepare: both(peerDown, platformDown), outcome: wire.NotRun, reason: wire.ReasonRecord},
		"recorded, peer and platform down, idempotent":   {fields: twice, prepare: both(peerDown, platformDown), outcome: wire.Done, starts: 1},
		"recorded, peer cut off, once":                   {prepare: peerCut, outcome: wire.Done, starts: 1},
		"recorded, peer cut off, platform loses answers": {prepare: both(peerCut, platformLosesAnswers), outcome: wire.Done, starts: 1},
		"recorded, own id, peer and platform down":       {fields: own, prepare: both(peerDown, platformDown), outcome: wire.Unknown, reason: wire.ReasonRecord},

		"offered, placer dead, once":      {prepare: placerDead, outcome: wire.Done, starts: 1},
		"offered, placer cut off, once":   {prepare: placerCut, outcome: wire.Done, starts: 1},
		"offered, all placers cut off":    {prepare: placersCut, outcome: wire.NotRun, reason: wire.ReasonRoute},
		"offered, refused, once":          {prepare: ownZoneRefuses(wire.ReasonBusy), outcome: wire.Done, starts: 1},
		"offered, refused by all":         {scripts: []script{{refuse: wire.ReasonBusy}}, outcome: wire.NotRun, reason: wire.ReasonBusy},
		"offered, leaving, once":          {prepare: ownZoneRefuses(wire.ReasonLeaving), outcome: wire.Done, starts: 1},
		"offered, stream broken, once":    {scripts: []script{{loseBeforeSent: true}, good}, outcome: wire.Unknown, reason: wire.ReasonLost},
		"offered, stream broken, again":   {fields: twice, scripts: []script{{loseBeforeSent: true}, good}, outcome: wire.Done, starts: 1},
		"sent, stream broken, once":       {scripts: []script{{loseAfterSent: true}, good}, outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"sent, stream broken, again":      {fields: twice, scripts: []script{{loseAfterSent: true}, good}, outcome: wire.Done, starts: 2},
		"sent, endpoint lost, once":       {scripts: []script{{unknown: true}, good}, outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"sent, endpoint lost, again":      {fields: twice, scripts: []script{{unknown: true}, good}, outcome: wire.Done, starts: 2},
		"sent, then refused, again":       {fields: twice, scripts: []script{{loseAfterSent: true}, {refuse: wire.ReasonBusy}}, outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"running, stream broken, once":    {scripts: []script{{loseWhileRunning: true}, good}, outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"running, stream broken, again":   {fields: twice, scripts: []script{{loseWhileRunning: true}, good}, outcome: wire.Done, starts: 2},
		"running, task failed, once":      {scripts: []script{{failed: true}, good}, outcome: wire.Failed, reason: wire.ReasonError, starts: 1},
		"running, task failed, again":     {fields: twice, scripts: []script{{failed: true}, good}, outcome: wire.Failed, reason: wire.ReasonError, starts: 1},
		"answering, cut short, once":      {scripts: []script{{answer: []byte("fine"), truncate: true}, good}, outcome: wire.Unknown, reason: wire.ReasonShort, starts: 1},
		"answering, cut short, again":     {fields: twice, scripts: []script{{answer: []byte("fine"), truncate: true}, good}, outcome: wire.Done, starts: 2},
		"answering, outcome lost, once":   {scripts: []script{{answer: []byte("fine"), loseBeforeOutcome: true}, good}, outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"answering, outcome lost, again":  {fields: twice, scripts: []script{{answer: []byte("fine"), loseBeforeOutcome: true}, good}, outcome: wire.Done, starts: 2},
		"answering, doubled":              {scripts: []script{{answer: []byte("fine"), duplicate: true}}, outcome: wire.Done, starts: 1},
		"answering, foreign":              {scripts: []script{{answer: []byte("fine"), foreign: true}}, outcome: wire.Done, starts: 1},
		"relayed, broken in a large one":  {scripts: []script{{answer: large, loseMidAnswer: true}, good}, starts: 1, torn: true},
		"relayed, large and idempotent":   {fields: twice, scripts: []script{{answer: large, loseMidAnswer: true}, good}, starts: 1, torn: true},
		"relayed, large one a byte short": {scripts: []script{{answer: large, truncate: true}}, starts: 1, torn: true},
		"forwarded, home lost it, refused here": {
			fields:  `,"id":"IDa2","idempotent":true`,
			scripts: []script{{loseAfterSent: true}, {refuse: wire.ReasonBusy}},
			outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1,
		},
		"admitted, own id, first home dead": {fields: `,"id":"IDa2","idempotent":true`, prepare: peerDown, outcome: wire.Done, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			if tt.prepare != nil {
				tt.prepare(c)
			}
			if tt.scripts != nil {
				c.setScripts(tt.scripts...)
			}
			if tt.scripts != nil && tt.prepare == nil {
				c.placers[1].kill() // The remaining placer runs the whole script.
				c.placers[0].setScripts(tt.scripts...)
				c.entries["a1"].table.Failed("pb")
			}
			g := c.submit("a1", ownID(c, tt.fields))
			if tt.torn {
				is.Equal(g.code, 200)
				is.True(!g.whole) // The caller sees that the answer is incomplete.
			} else {
				is.Equal(g.outcome, tt.outcome)
				is.Equal(g.reason, tt.reason)
			}
			if tt.outcome == wire.Done {
				is.Equal(string(g.body), "fine")
			}
			total := c.placers[0].total() + c.placers[1].total()
			is.Equal(total, tt.starts)
		})
	}
}

// ownID replaces ID in fields by a caller's own id that a1 and a2 hold, and
// IDa2 by one whose first holder is a2.
func ownID(c *cell, fields string) string {
	first := "a1"
	if bytes.Contains([]byte(fields), []byte("IDa2")) {
		first = "a2"
		fields = string(bytes.ReplaceAll([]byte(fields), []byte("IDa2"), []byte("ID")))
	}
	return string(bytes.ReplaceAll([]byte(fields), []byte(`"ID"`), []byte(`"`+c.ownIDHeldBy(first)+`"`)))
}

// both returns a function that calls f and then g.
func both(f, g func(*cell)) func(*cell) { return func(c *cell) { f(c); g(c) } }

func platformDown(c *cell) { c.platform.SetFaults(store.Faults{Down: true}) }

func platformLosesAnswers(c *cell) { c.platform.SetFaults(store.Faults{Lose: true}) }

func peerDown(c *cell) { c.entries["a2"].kill() }

func peerCut(c *cell) { c.entries["a1"].gate.cutOff(c.host("a2").Link) }

func placerDead(c *cell) { c.placers[0].kill() }

func placerCut(c *cell) { c.entries["a1"].gate.cutOff(c.placers[0].node.Address()) }

func placersCut(c *cell) {
	c.entries["a1"].gate.cutOff(c.placers[0].node.Address(), c.placers[1].node.Address())
}

// ownZoneRefuses makes the placer in the entry's zone refuse requests, while
// the other placer accepts them.
func ownZoneRefuses(reason string) func(*cell) {
	return func(c *cell) {
		c.placers[0].setScripts(script{refuse: reason})
		c.placers[1].setScripts(script{answer: []byte("fine")})
	}
}
