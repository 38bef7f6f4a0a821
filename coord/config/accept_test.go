package config

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
)

// TestAcceptanceFaults publishes a withdrawal while a host is paused or cut
// off, at each moment of the publish, for both kinds of grace. No host honours
// the key once the publisher was told that it is in force, and that is within
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
					acceptanceFault(t, "[team.shop]\n[queue.plain]\n"+tt.grace, tt.queue, f, before, tt.within)
				})
			}
		}
	}
}

func acceptanceFault(t *testing.T, text, queue string, f fault, before, within time.Duration) {
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
	is.True(serves(b, queue, secret))
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
		is.True(!serves(h, queue, secret))
	}
	wake()
	is.True(!serves(b, queue, secret)) // the paused one wakes
	c.cut["b"], c.cut["c"] = false, false
	c.refreshFor(2 * DefaultInterval)
	is.Equal(b.Head().Version, res.Head.Version)
	is.True(!serves(b, queue, secret))
}

// serves reports whether a host accepts a request with that secret.
func serves(f *Follower, queue, secret string) bool {
	snap := f.Current()
	if snap == nil || !f.Honours(queue) {
		return false
	}
	_, _, ok := snap.KeyTeam(secret)
	return ok
}

// host pauses a host, or leaves it running, and returns what wakes it.
func (c *testCell) applyHostFault(name string, f fault) (wake func()) {
	if f != faultPaused {
		return func() {}
	}
	c.paused = name
	return func() { c.paused = "" }
}

// refreshFor lets all hosts that are not paused refresh as time goes on.
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
