package serve

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestRetry sends a request a second time through another entry and states
// what the second caller gets. No row starts a request that is not idempotent
// twice.
func TestRetry(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789abcdef"), 8<<10)
	tests := map[string]struct {
		fields  string
		script  script
		between func(c *cell)
		entry   string // of the second try
		outcome wire.Outcome
		reason  string
		code    int
		starts  int
	}{
		"same entry":              {entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"peer entry":              {entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"other zone":              {entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"first holder dead":       {between: killed("a1"), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"first holder dead, far":  {between: killed("a1"), entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"both holders dead":       {between: both(killed("a1"), killed("a2")), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, code: 500, starts: 1},
		"first holder restarted":  {between: restarted("a1"), entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"second one restarted":    {between: restarted("a2"), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
		"one after the other":     {between: both(restarted("a1"), restarted("a2")), entry: "b2", outcome: wire.Done, code: 200, starts: 1},
		"both restarted at once":  {between: bothRestarted, entry: "a1", outcome: wire.Unknown, reason: wire.ReasonRecord, code: 500, starts: 1},
		"restarted, no platform":  {between: both(platformDown, restarted("a1")), entry: "a1", outcome: wire.Done, code: 200, starts: 1},
		"idempotent, both dead":   {fields: `,"idempotent":true`, between: both(killed("a1"), killed("a2")), entry: "b1", outcome: wire.Done, code: 200, starts: 2},
		"unknown stays unknown":   {script: script{sent: true}, entry: "b1", outcome: wire.Unknown, reason: wire.ReasonLost, code: 500, starts: 1},
		"failed stays failed":     {script: script{failed: true}, entry: "b1", outcome: wire.Failed, reason: wire.ReasonError, code: 424, starts: 1},
		"not run is run":          {script: script{refuse: wire.ReasonBusy}, entry: "b1", outcome: wire.Done, code: 200, starts: 1},
		"not run, then peer":      {script: script{refuse: wire.ReasonBusy}, between: settled(killed("a1")), entry: "a2", outcome: wire.Done, code: 200, starts: 1},
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
			id := c.idAt("a1")
			fields := `,"id":"` + id + `"` + tt.fields
			if tt.script.answer == nil {
				tt.script.answer = []byte("fine")
			}
			c.script(tt.script)
			first := c.submit("a1", fields)
			c.settle("a1")
			if tt.between != nil {
				tt.between(c)
			}
			c.script(script{answer: []byte("fine")})
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

// settle waits until the entry has told the outcomes to the other holders.
func (c *cell) settle(entry string) { c.entries[entry].service.Wait() }

func killed(entry string) func(*cell) { return func(c *cell) { c.entries[entry].kill() } }

func settled(f func(*cell)) func(*cell) { return f }

func restarted(entry string) func(*cell) {
	return func(c *cell) {
		c.entries[entry].kill()
		c.start(entry)
	}
}

func bothRestarted(c *cell) {
	c.entries["a1"].kill()
	c.entries["a2"].kill()
	c.start("a1")
	c.start("a2")
}

func cutOff(entry string, peers ...string) func(*cell) {
	return func(c *cell) {
		var cut []string
		for _, p := range peers {
			cut = append(cut, c.host(p).Link, p)
		}
		c.entries[entry].gate.set(cut...)
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
	c.script(script{answer: []byte("red's")})
	is.Equal(c.submit("a1", `,"id":"x"`).code, 200)
	c.script(script{answer: []byte("blue's")})
	g := c.ask("a1", http.MethodPost, "/v1/requests", "k2", `{"queue":"shop","kind":"quick","id":"x"}`)
	is.Equal(string(g.body), "blue's")
	is.Equal(string(c.ask("b1", http.MethodGet, "/v1/requests/x/result", "k1", "").body), "red's")
}

func TestJoin(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.script(script{answer: []byte("one"), delay: 300 * time.Millisecond})
	var answers [4]got
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

func TestWithdrawnKeyStopsWhatWaits(t *testing.T) {
	is := is.New(t)
	c := newCell(t, func(c *cell) { c.running = 1 })
	c.script(script{hang: true})
	var blocker, waiter got
	var g errgroup.Group
	g.Go(func() error { blocker = c.submit("a1", `,"deadline":"5s"`); return nil })
	until(t, func() bool { return c.placers[0].total()+c.placers[1].total() == 1 })
	g.Go(func() error { waiter = c.submit("a1", `,"deadline":"20s"`); return nil })
	until(t, func() bool { return c.entries["a1"].service.Working() == 2 })
	c.config.change(func() { delete(c.config.keys, "k1") })
	is.NoErr(g.Wait())
	is.Equal(blocker.outcome, wire.Failed)
	is.Equal(waiter.outcome, wire.NotRun)
	is.Equal(waiter.reason, wire.ReasonKey)
	is.Equal(waiter.code, 401)
}

func TestStaleConfiguration(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	c.config.change(func() { c.config.stale = true })
	g := c.submit("a1", "")
	is.Equal(g.code, 503)
	is.Equal(g.reason, wire.ReasonStale)
	is.Equal(g.outcome, wire.NotRun)
	is.Equal(c.ask("a1", http.MethodPost, "/v1/requests", "", `{"queue":"open","kind":"quick"}`).code, 200)
}

func TestHangUpCancels(t *testing.T) {
	tests := map[string]struct {
		fields string
		ends   bool
	}{
		"asked for": {fields: `,"cancel":true`, ends: true},
		"not asked": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.script(script{hang: true})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error { return c.abandoned(ctx, "a1", tt.fields) })
			until(t, func() bool { return c.placers[0].total()+c.placers[1].total() == 1 })
			cancel()
			_ = g.Wait()
			if tt.ends {
				until(t, func() bool { return c.entries["a1"].service.Working() == 0 })
				return
			}
			time.Sleep(300 * time.Millisecond)
			is.Equal(c.entries["a1"].service.Working(), 1)
		})
	}
}

// abandoned sends a request whose caller hangs up when ctx ends.
func (c *cell) abandoned(ctx context.Context, entry, fields string) error {
	body := bytes.NewReader([]byte(`{"queue":"shop","kind":"quick"` + fields + `}`))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[entry].address+"/v1/requests", body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer k1")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// until waits for a condition, generously.
func until(t *testing.T, cond func() bool) {
	t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it never came about")
}

func TestJobs(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	const job = `{"queue":"shop","kind":"batch","tasks":3,"id":"plan"}`
	g := c.ask("a1", http.MethodPost, "/v1/requests", "k1", job)
	is.Equal(g.code, 202)
	is.Equal(g.reply.ID, "plan")
	again := c.ask("b2", http.MethodPost, "/v1/requests", "k1", job)
	is.Equal(again.code, 202)
	other := c.ask("b2", http.MethodPost, "/v1/requests", "k1", `{"queue":"shop","kind":"batch","tasks":4,"id":"plan"}`)
	is.Equal(other.code, 409)
	for _, entry := range []string{"a1", "a2", "b1", "b2"} {
		is.Equal(c.ask(entry, http.MethodGet, "/v1/requests/plan", "k1", "").reply.Phase, wire.Queued)
		is.Equal(c.ask(entry, http.MethodGet, "/v1/requests/plan", "k2", "").code, 404)
	}
	is.Equal(c.ask("a2", http.MethodDelete, "/v1/requests/plan", "k1", "").code, 202)
	rows, err := c.platform.Scan(context.Background(), "job", "")
	is.NoErr(err)
	is.Equal(len(rows), 1)
}

func TestJobWhilePlatformIsAway(t *testing.T) {
	const job = `{"queue":"shop","kind":"batch","id":"plan"}`
	tests := map[string]struct {
		prepare func(c *cell)
		after   func(c *cell)
		code    int
		outcome wire.Outcome
		rows    int
	}{
		"held in two zones":         {prepare: platformDown, code: 202, rows: 1},
		"first holder dies":         {prepare: platformDown, after: killed("a1"), code: 202, rows: 1},
		"other zone cut off":        {prepare: both(platformDown, cutOff("a1", "b1", "b2")), code: 500, outcome: wire.Unknown},
		"answer lost after writing": {prepare: platformLoses, code: 202, rows: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			tt.prepare(c)
			g := c.ask("a1", http.MethodPost, "/v1/requests", "k1", job)
			is.Equal(g.code, tt.code)
			is.Equal(g.outcome, tt.outcome)
			if tt.after != nil {
				tt.after(c)
			}
			c.platform.SetFaults(store.Faults{})
			rows := func() int {
				rows, err := c.platform.Scan(context.Background(), "job", "")
				is.NoErr(err)
				return len(rows)
			}
			if tt.rows == 0 {
				time.Sleep(1500 * time.Millisecond)
			}
			until(t, func() bool { return rows() == tt.rows })
			time.Sleep(1200 * time.Millisecond) // The other holder must not write it again.
			is.Equal(rows(), tt.rows)
		})
	}
}

func TestStatusResultAndIDs(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	ids := c.ask("a1", http.MethodPost, "/v1/ids", "k1", `{"count":2}`)
	is.Equal(ids.code, 200)
	is.Equal(c.ask("a1", http.MethodPost, "/v1/ids", "k9", `{"count":2}`).code, 401)
	g := c.submit("b1", `,"wait":false`)
	is.Equal(g.code, 202)
	for _, entry := range []string{"a1", "b1", "b2"} {
		until(t, func() bool {
			return c.ask(entry, http.MethodGet, "/v1/requests/"+g.id, "k1", "").reply.Outcome == wire.Done
		})
		is.Equal(string(c.ask(entry, http.MethodGet, "/v1/requests/"+g.id+"/result", "k1", "").body), "fine")
		is.Equal(c.ask(entry, http.MethodGet, "/v1/requests/"+g.id, "k2", "").code, 404)
		w := c.ask(entry, http.MethodGet, "/v1/requests/"+g.id+"/watch", "k1", "")
		is.True(w.whole)
		is.Equal(w.reply.Outcome, wire.Done)
	}
	is.Equal(c.ask("a1", http.MethodGet, "/v1/requests/none", "k1", "").code, 404)
	is.Equal(c.ask("a1", http.MethodGet, "/other", "k1", "").code, 404)
	is.Equal(c.ask("a1", http.MethodPut, "/v1/requests", "k1", "").code, 405)
}

func TestCancel(t *testing.T) {
	tests := map[string]struct {
		script  script
		outcome wire.Outcome
	}{
		"while it waits":   {script: script{queued: true}, outcome: wire.NotRun},
		"while it runs":    {script: script{hang: true}, outcome: wire.Failed},
		"after it has run": {script: script{answer: []byte("x")}, outcome: wire.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.script(tt.script)
			id := c.idAt("a1")
			is.Equal(c.submit("b1", `,"wait":false,"id":"`+id+`"`).code, 202)
			until(t, func() bool {
				p := c.ask("a1", http.MethodGet, "/v1/requests/"+id, "k1", "").reply.Phase
				return p == wire.Running || p == wire.Ended || tt.script.queued && p == wire.Queued && c.entries["a1"].service.Working() == 1 && len(c.placers[0].seen()) == 1
			})
			is.Equal(c.ask("b2", http.MethodDelete, "/v1/requests/"+id, "k1", "").reply.Outcome, tt.outcome)
		})
	}
}
