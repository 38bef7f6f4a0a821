package config

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
)

// TestAcceptanceFaults deletes a key while a host is paused or cut off, at
// several times before the publish and for two graces. Once the deletion is
// reported as in force, no host may accept the key; and that is reported within
// the stated time.
func TestAcceptanceFaults(t *testing.T) {
	tests := map[string]struct {
		queue  string
		grace  string
		within time.Duration // from the write
	}{
		"default grace": {queue: "plain", within: 3 * time.Second},
		"grace of 10 s": {queue: "patient", grace: "[queue.patient]\npolicy = \"patient\"\n[policy.patient]\ngrace = \"10s\"\n", within: 13 * time.Second},
	}
	for name, tt := range tests {
		for _, f := range []fault{faultPaused, faultCut} {
			for _, before := range []time.Duration{0, DefaultInterval, DefaultPeriod, 5 * time.Second} {
				t.Run(name+", "+string(f)+" "+before.String()+" before", func(t *testing.T) {
					checkAcceptanceFault(t, "[team.shop]\n[queue.plain]\n"+tt.grace, tt.queue, f, before, tt.within)
				})
			}
		}
	}
}

func checkAcceptanceFault(t *testing.T, text, queue string, f fault, before, within time.Duration) {
	is := is.New(t)
	c := newTestCell()
	secret, digest := NewSecret("shop-1")
	key := &Key{Name: "shop-1", Team: "shop", Digest: digest}
	set := parse(t, text)
	e := edit(c, 0, key)
	for _, ref := range set.Refs() {
		e.Put = append(e.Put, set.Object(ref))
	}
	a, b, d := c.start("a", "z1"), c.start("b", "z2"), c.start("c", "z2")
	_, err := c.publishWithin(c.platform, e)
	is.NoErr(err)
	c.refreshAll()
	w := NewWaiter(c.platform, c.timers, a, nil, zap.NewNop())
	w.recordAccepted(t.Context(), 1)
	is.True(acceptsKey(b, queue, secret))
	c.cut["b"], c.cut["c"] = true, true // the zone
	wake := c.applyHostFault("b", f)
	c.refreshFor(before)

	res, err := c.publishWithin(c.platform, &Edit{ID: audit.NewID(c.timers.Now()), Author: "ana", Base: AnyVersion, Action: audit.Delete, Delete: []Ref{key.Ref()}})
	is.NoErr(err)
	r := w.newWaitState(res)
	for {
		c.refreshFor(pollInterval)
		p, err := r.poll(t.Context())
		w.Close()
		is.NoErr(err)
		if p.Accepted {
			is.Equal(p.Missing, []string{"b", "c"})
			break
		}
		is.True(c.timers.Boot()-res.Published < within)
	}
	is.True(c.timers.Boot()-res.Published <= within)
	for _, h := range []*Follower{a, b, d} {
		is.True(!acceptsKey(h, queue, secret))
	}
	wake()
	is.True(!acceptsKey(b, queue, secret)) // also after the paused host wakes up
	c.cut["b"], c.cut["c"] = false, false
	c.refreshFor(2 * DefaultInterval)
	is.Equal(b.Head().Version, res.Head.Version)
	is.True(!acceptsKey(b, queue, secret))
}

// acceptsKey reports whether a host accepts a request with that secret.
func acceptsKey(f *Follower, queue, secret string) bool {
	snap := f.Current()
	if snap == nil || !f.Honours(queue) {
		return false
	}
	_, _, ok := snap.KeyTeam(secret)
	return ok
}

// applyHostFault pauses the host if the fault says so, and returns a function
// that wakes it.
func (c *testCell) applyHostFault(name string, f fault) (wake func()) {
	if f != faultPaused {
		return func() {}
	}
	c.paused = name
	return func() { c.paused = "" }
}

// refreshFor advances time in ticks, and makes all hosts that aren't paused
// refresh at each tick.
func (c *testCell) refreshFor(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := c.timers.Boot() + d; c.timers.Boot() < end; {
		c.timers.Advance(min(tick, end-c.timers.Boot()))
		for _, p := range c.peers {
			if p.Name != c.paused {
				c.followers[p.Name].refresh(context.Background())
			}
		}
	}
}
