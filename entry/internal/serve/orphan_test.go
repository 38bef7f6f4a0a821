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

// TestOnceWithoutItsHolders makes both holders of the record of a request that
// isn't idempotent unavailable, or one before it has replicated the record to
// the other, and sends the request again. It must not start twice, and the
// caller must get a correct outcome well before its timeout of 10 s.
func TestOnceWithoutItsHolders(t *testing.T) {
	fine := script{answer: []byte("fine")}
	tests := map[string]struct {
		before  func(c *cell) // before the first attempt
		ends    bool          // the first attempt ends before the fault; otherwise it is still running
		between func(c *cell)
		entry   string // entry of the second attempt
		outcome wire.Outcome
		reason  string
		starts  int
	}{
		"both cut off while it runs":  {between: cutOff("b1", "a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent while it runs":   {between: replaceBySilent("a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent after its end":   {ends: true, between: replaceBySilent("a1", "a2"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"both silent, platform down":  {between: both(platformDown, replaceBySilent("a1", "a2")), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1},
		"first silent, second has it": {between: replaceBySilent("a1"), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, at it":      {before: cutOff("a1", "a2"), between: killEntry("a1"), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, far":        {before: cutOff("a1", "a2"), between: killEntry("a1"), entry: "b1", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"second not told, no platform": {
			before: cutOff("a1", "a2"), between: both(platformDown, killEntry("a1")), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonRecord, starts: 1,
		},
		"second not told, restarted too": {
			before: cutOff("a1", "a2"), between: both(killEntry("a1"), restartEntry("a2")), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1,
		},
		"outcome not told": {between: both(cutOff("a1", "a2"), endThenKill), entry: "a2", outcome: wire.Unknown, reason: wire.ReasonLost, starts: 1},
		"never secured": {
			before: both(platformDown, cutOff("a1", "a2")), ends: true, between: both(killEntry("a1"), platformUp), entry: "a2", outcome: wire.Done, starts: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			id := c.ownIDHeldBy("a1")
			fields := `,"deadline":"3s","id":"` + id + `"`
			if tt.before != nil {
				tt.before(c)
			}
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			defer func() { cancel(); _ = g.Wait() }()
			c.setScripts(fine)
			if tt.ends {
				c.submit("a1", fields)
				c.waitReplicated("a1")
			} else {
				c.setScripts(script{runUntilCancelled: true})
				g.Go(func() error { return c.submitWithContext(ctx, "a1", fields) })
				waitFor(t, func() bool { return c.starts("red~"+id) == 1 })
			}
			tt.between(c)
			c.setScripts(fine)
			again := c.submit(tt.entry, fields)
			is.Equal(again.outcome, tt.outcome)
			is.Equal(again.reason, tt.reason)
			is.Equal(c.starts("red~"+id), tt.starts)
		})
	}
}

// replaceBySilent replaces hosts by sockets that receive packets and never
// answer, like those of a suspended or partitioned host.
func replaceBySilent(names ...string) func(*cell) {
	return func(c *cell) {
		for _, name := range names {
			c.entries[name].kill()
			conn, err := net.ListenPacket("udp", c.host(name).Link)
			is.New(c.t).NoErr(err)
			c.t.Cleanup(func() { _ = conn.Close() })
		}
	}
}

// endThenKill ends all running requests and then kills the first holder.
func endThenKill(c *cell) {
	for _, p := range c.placers {
		p.mu.Lock()
		for id, done := range p.cancels {
			close(done)
			delete(p.cancels, id)
		}
		p.mu.Unlock()
	}
	c.waitReplicated("a1")
	c.entries["a1"].kill()
}

func platformUp(c *cell) { c.platform.SetFaults(store.Faults{}) }
