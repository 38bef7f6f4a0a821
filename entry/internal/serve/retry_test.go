package serve

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestRetry sends a request a second time, also through another entry and after
// faults, and checks what the second caller gets. A request that isn't
// idempotent must never start twice.
func TestRetry(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	tests := map[string]struct {
		fields  string
		script  script
		between func(c *cell)
		entry   string // entry of the second attempt
		outcome wire.Outcome
		reason  string
		code    int
		starts  int
	}{
		"same entry":              {entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"peer entry":              {entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"other zone":              {entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"first holder dead":       {between: killEntry("a1"), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"first holder dead, far":  {between: killEntry("a1"), entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"both holders dead":       {between: both(killEntry("a1"), killEntry("a2")), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, code: 500, starts: 1},
		"first holder restarted":  {between: restartEntry("a1"), entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"second one restarted":    {between: restartEntry("a2"), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"one after the other":     {between: both(restartEntry("a1"), restartEntry("a2")), entry: "b2", outcome: wire.Done, code: 200, starts: 1},
		"both restarted at once":  {between: restartBoth, entry: "a1", outcome: wire.Unknown, reason: wire.ReasonRecord, code: 500, starts: 1},
		"restarted, no platform":  {between: both(platformDown, restartEntry("a1")), entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"idempotent, both dead":   {fields: `,"idempotent":true`, between: both(killEntry("a1"), killEntry("a2")), entry: "b1", outcome: wire.Done, code: 200, starts: 2},
		"unknown stays unknown":   {script: script{loseAfterSent: true}, entry: "b1", outcome: wire.Unknown, reason: wire.ReasonLost, code: 500, starts: 1},
		"failed stays failed":     {script: script{failed: true}, entry: "b1", outcome: wire.Failed, reason: wire.ReasonError, code: 424, starts: 1},
		"not run is run":          {script: script{refuse: wire.ReasonBusy}, entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"not run, then peer":      {script: script{refuse: wire.ReasonBusy}, between: settled(killEntry("a1")), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"large answer is gone":    {script: script{answer: large}, entry: "a2", outcome: wire.Done, reason: wire.ReasonGone, code: 410, starts: 1},
		"large, idempotent":       {fields: `,"idempotent":true`, script: script{answer: large}, entry: "a2", outcome: wire.Done, code: 200, starts: 2},
		"cut from both holders":   {between: cutOff("b1", "a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, code: 500, starts: 1},
		"holder cut from holder":  {between: cutOff("a2", "a1"), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"holder cut before claim": {between: cutOff("a1", "a2"), entry: "a1", outcome: wire.Done, code: 200, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			id := c.ownIDHeldBy("a1")
			fields := `,"id":"` + id + `"` + tt.fields
			if tt.script.answer == nil {
				tt.script.answer = []byte("fine")
			}
			c.setScripts(tt.script)
			first := c.submit("a1", fields)
			c.waitReplicated("a1")
			if tt.between != nil {
				tt.between(c)
			}
			c.setScripts(script{answer: []byte("fine")})
			again := c.submit(tt.entry, fields)
			is.Equal(again.outcome, tt.outcome)
			is.Equal(again.reason, tt.reason)
			is.Equal(again.code, tt.code)
			if first.code == 200 && again.code == 200 && len(first.body) < 100 {
				is.Equal(string(again.body), string(first.body))
			}
			is.Equal(c.starts("red~"+id), tt.starts)
		})
	}
}

// waitReplicated waits until the entry has replicated the outcomes to the other
// holders.
func (c *cell) waitReplicated(entry string) { c.entries[entry].service.Wait() }

// killEntry returns a function that kills the named entry.
func killEntry(entry string) func(*cell) { return func(c *cell) { c.entries[entry].kill() } }

// settled returns f unchanged. It marks a case in which the first outcome has
// been replicated before f runs, as in every case of TestRetry.
func settled(f func(*cell)) func(*cell) { return f }

// restartEntry returns a function that kills the named entry and starts it
// again.
func restartEntry(entry string) func(*cell) {
	return func(c *cell) {
		c.entries[entry].kill()
		c.start(entry)
	}
}

// restartBoth restarts a1 and a2 so that both are down at the same time.
func restartBoth(c *cell) {
	c.entries["a1"].kill()
	c.entries["a2"].kill()
	c.start("a1")
	c.start("a2")
}

// cutOff returns a function that cuts the links between an entry and its peers,
// at the entry's end.
func cutOff(entry string, peers ...string) func(*cell) {
	return func(c *cell) {
		var cut []string
		for _, p := range peers {
			cut = append(cut, c.host(p).Link, p)
		}
		c.entries[entry].gate.cutOff(cut...)
	}
}

// The outcome of a refusal must be "unknown", not "not run", at an entry that
// may not know of an earlier run: a holder that can reach neither the other
// holder nor the platform, or a host that can reach no holder. The platform alone
// is enough to replace the other holder.
func TestRefusalBesideAnUnheardRun(t *testing.T) {
	tests := map[string]struct {
		entry   string
		before  func(c *cell) // before the first attempt, which starts the request and gets no answer
		between func(c *cell)
		outcome wire.Outcome
	}{
		"holders apart":                   {entry: "a2", between: cutOff("a2", "a1"), outcome: wire.NotRun},
		"holders apart, it has run":       {entry: "a2", before: cutOff("a1", "a2"), between: cutOff("a2", "a1"), outcome: wire.Unknown},
		"holders and platform apart":      {entry: "a2", between: both(cutOff("a2", "a1"), platformDown), outcome: wire.Unknown},
		"far, no holder in reach":         {entry: "b1", between: cutOff("b1", "a1", "a2"), outcome: wire.Unknown},
		"its id is new, holders apart":    {entry: "a2", between: cutOff("a2", "a1"), outcome: wire.NotRun},
		"its id is new, no holder at all": {entry: "b1", between: cutOff("b1", "a1", "a2"), outcome: wire.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t)
			fields := `,"idempotent":true`
			if !strings.HasPrefix(name, "its id is new") {
				fields += `,"id":"` + c.ownIDHeldBy("a1") + `"`
			}
			if tt.before != nil {
				tt.before(c)
				c.setScripts(script{loseAfterSent: true})
				is.Equal(c.submit("a1", fields).outcome, wire.Unknown)
				c.waitReplicated("a1")
			}
			tt.between(c)
			c.setScripts(script{refuse: wire.ReasonBusy})
			is.Equal(c.submit(tt.entry, fields).outcome, tt.outcome)
		})
	}
}

func TestOtherContentIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	is.Equal(c.submit("a1", `,"id":"x","body":{"n":1}`).code, 200)
	g := c.submit("b1", `,"id":"x","body":{"n":2}`)
	is.Equal(g.code, 409)
	is.Equal(g.reason, wire.ReasonDuplicate)
}

func TestTeamsDoNotShareIDs(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.setScripts(script{answer: []byte("red's")})
	is.Equal(c.submit("a1", `,"id":"x"`).code, 200)
	c.setScripts(script{answer: []byte("blue's")})
	g := c.do("a1", http.MethodPost, "/v1/requests", "k2", `{"queue":"shop","kind":"quick","id":"x"}`)
	is.Equal(string(g.body), "blue's")
	is.Equal(string(c.do("b1", http.MethodGet, "/v1/requests/x/result", "k1", "").body), "red's")
}

func TestJoin(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.setScripts(script{answer: []byte("one"), delay: 300 * time.Millisecond})
	var answers [4]response
	var g errgroup.Group
	for i, entry := range []string{"a1", "a2", "b1", "b2"} {
		g.Go(func() error { answers[i] = c.submit(entry, `,"id":"same"`); return nil })
	}
	is.NoErr(g.Wait())
	for _, a := range answers {
		is.Equal(a.code, 200)
		is.Equal(string(a.body), "one")
	}
	is.Equal(c.starts("red~same"), 1)
}
