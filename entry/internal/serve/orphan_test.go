package serve

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestOnceWithoutItsHolders takes the holders of the record of a request that
// runs once away, together or before one has told the other, and sends the
// request again. It never starts twice, its caller is told what is true, and
// is told so well before the 10 s for which it waits.
func TestOnceWithoutItsHolders(t *testing.T) {
	fine := script{answer: []byte("fine")}
	tests := map[string]struct {
		before  func(c *cell) // the first try
		ends    bool          // the first try is awaited; else its holders go while it runs
		between func(c *cell)
		entry   string // of the second try
		outcome wire.Outcome
		reason  string
		starts  int
	}{
		"both cut off while it runs":  {between: cutOff("b1", "a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent while it runs":   {between: silent("a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent after its end":   {ends: true, between: silent("a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent, platform down":  {between: both(platformDown, silent("a1", "a2")), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"first silent, second has it": {between: silent("a1"), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, at it":      {before: cutOff("a1", "a2"), between: killed("a1"), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, far":        {before: cutOff("a1", "a2"), between: killed("a1"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, no platform": {
			before: cutOff("a1", "a2"), between: both(platformDown, killed("a1")), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1,
		},
		"second not told, restarted too": {
			before: cutOff("a1", "a2"), between: both(killed("a1"), restarted("a2")), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1,
		},
		"outcome not told": {between: both(cutOff("a1", "a2"), endedThenKilled), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"never secured": {
			before: both(platformDown, cutOff("a1", "a2")), ends: true, between: both(killed("a1"), platformUp), entry: "a2", outcome: wire.Done, starts: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			id := c.idAt("a1")
			fields := `,"deadline":"3s","id":"` + id + `"`
			if tt.before != nil {
				tt.before(c)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			defer func() { cancel(); _ = g.Wait() }()
			c.script(fine)
			if tt.ends {
				c.submit("a1", fields)
				c.settle("a1")
			} else {
				c.script(script{hang: true})
				g.Go(func() error { return c.abandoned(ctx, "a1", fields) })
				until(t, func() bool { return c.starts("red~"+id) == 1 })
			}
			tt.between(c)
			c.script(fine)
			again := c.submit(tt.entry, fields)
			is.Equal(again.outcome, tt.outcome)
			is.Equal(again.reason, tt.reason)
			is.Equal(c.starts("red~"+id), tt.starts)
		})
	}
}

// silent replaces hosts by sockets that take everything and never answer, as
// those of a paused or cut-off host do.
func silent(names ...string) func(*cell) {
	return func(c *cell) {
		for _, name := range names {
			c.entries[name].kill()
			conn, err := net.ListenPacket("udp", c.host(name).Link)
			is.New(c.t).NoErr(err)
			c.t.Cleanup(func() { _ = conn.Close() })
		}
	}
}

// endedThenKilled lets what runs end before the first holder dies.
func endedThenKilled(c *cell) {
	for _, p := range c.placers {
		p.mu.Lock()
		for id, done := range p.cancels {
			close(done)
			delete(p.cancels, id)
		}
		p.mu.Unlock()
	}
	c.settle("a1")
	c.entries["a1"].kill()
}

func platformUp(c *cell) { c.platform.SetFaults(store.Faults{}) }
