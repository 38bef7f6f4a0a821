package serve

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

func TestWithdrawnKeyStopsWhatWaits(t *testing.T) {
	is := is.New(t)
	c := newCell(t, func(c *cell) { c.running = 1 })
	c.setScripts(script{runUntilCancelled: true})
	var blocker, waiter response
	var g errgroup.Group
	g.Go(func() error { blocker = c.submit("a1", `,"deadline":"5s"`); return nil })
	waitFor(t, func() bool { return c.placers[0].total()+c.placers[1].total() == 1 })
	g.Go(func() error { waiter = c.submit("a1", `,"deadline":"20s"`); return nil })
	waitFor(t, func() bool { return c.entries["a1"].service.InFlight() == 2 })
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
	is.Equal(c.do("a1", http.MethodPost, "/v1/requests", "", `{"queue":"open","kind":"quick"}`).code, 200)
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
			c.setScripts(script{runUntilCancelled: true})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			g.Go(func() error { return c.submitWithContext(ctx, "a1", tt.fields) })
			waitFor(t, func() bool { return c.placers[0].total()+c.placers[1].total() == 1 })
			cancel()
			_ = g.Wait()
			if tt.ends {
				waitFor(t, func() bool { return c.entries["a1"].service.InFlight() == 0 })
				return
			}
			time.Sleep(300 * time.Millisecond)
			is.Equal(c.entries["a1"].service.InFlight(), 1)
		})
	}
}

// submitWithContext sends a request whose caller closes the connection when ctx
// ends.
func (c *cell) submitWithContext(ctx context.Context, entry, fields string) error {
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

// waitFor polls until the condition holds and fails the test after 10 s.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition didn't hold within 10 s")
}

func TestStatusResultAndIDs(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	ids := c.do("a1", http.MethodPost, "/v1/ids", "k1", `{"count":2}`)
	is.Equal(ids.code, 200)
	is.Equal(c.do("a1", http.MethodPost, "/v1/ids", "k9", `{"count":2}`).code, 401)
	g := c.submit("b1", `,"wait":false`)
	is.Equal(g.code, 202)
	for _, entry := range []string{"a1", "b1", "b2"} {
		waitFor(t, func() bool {
			return c.do(entry, http.MethodGet, "/v1/requests/"+g.id, "k1", "").reply.Outcome == wire.Done
		})
		is.Equal(string(c.do(entry, http.MethodGet, "/v1/requests/"+g.id+"/result", "k1", "").body), "fine")
		is.Equal(c.do(entry, http.MethodGet, "/v1/requests/"+g.id, "k2", "").code, 404)
		w := c.do(entry, http.MethodGet, "/v1/requests/"+g.id+"/watch", "k1", "")
		is.True(w.whole)
		is.Equal(w.reply.Outcome, wire.Done)
	}
	is.Equal(c.do("a1", http.MethodGet, "/v1/requests/none", "k1", "").code, 404)
	is.Equal(c.do("a1", http.MethodGet, "/other", "k1", "").code, 404)
	is.Equal(c.do("a1", http.MethodPut, "/v1/requests", "k1", "").code, 405)
}

func TestCancel(t *testing.T) {
	tests := map[string]struct {
		script  script
		outcome wire.Outcome
	}{
		"while it waits":   {script: script{queueUntilCancelled: true}, outcome: wire.NotRun},
		"while it runs":    {script: script{runUntilCancelled: true}, outcome: wire.Failed},
		"after it has run": {script: script{answer: []byte("x")}, outcome: wire.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			c.setScripts(tt.script)
			id := c.ownIDHeldBy("a1")
			is.Equal(c.submit("b1", `,"wait":false,"id":"`+id+`"`).code, 202)
			waitFor(t, func() bool {
				p := c.do("a1", http.MethodGet, "/v1/requests/"+id, "k1", "").reply.Phase
				return p == wire.Running || p == wire.Ended || tt.script.queueUntilCancelled && p == wire.Queued && c.entries["a1"].service.InFlight() == 1 && len(c.placers[0].received()) == 1
			})
			is.Equal(c.do("b2", http.MethodDelete, "/v1/requests/"+id, "k1", "").reply.Outcome, tt.outcome)
		})
	}
}
