package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
)

func TestFollowerAppliesAndLapses(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	c.refreshAll()
	is.True(f.Current() == nil)
	is.True(!f.Fresh())
	c.write(t, 1, setWith(t, ""))
	c.refreshAll()
	is.Equal(f.Current().Version(), uint64(1))
	is.True(f.Fresh() && f.Honours("plain") && f.Honours("patient"))
	c.platform.SetFaults(store.Faults{Down: true})
	c.timers.Advance(DefaultPeriod + DefaultGrace)
	c.refreshAll()
	is.True(f.Fresh() && f.Honours("plain"))
	c.timers.Advance(time.Millisecond)
	is.True(!f.Fresh() && !f.Honours("plain"))
	is.True(f.Honours("patient"))
	c.timers.Advance(10 * time.Second)
	is.True(!f.Honours("patient"))
	is.Equal(f.Current().Version(), uint64(1)) // open queues need no confirmation
	c.platform.SetFaults(store.Faults{})
	c.refreshAll()
	is.True(f.Fresh())
}

func TestVersionsGoUpOnly(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	var seen []uint64
	f.Subscribe(func(s *Snapshot) { seen = append(seen, s.Version()) })
	c.write(t, 3, setWith(t, "[team.x]\n"))
	c.refreshAll()
	c.write(t, 2, setWith(t, "[team.y]\n"))
	c.timers.Advance(DefaultPeriod + DefaultGrace + 1)
	c.refreshAll()
	is.Equal(seen, []uint64{3})
	is.Equal(f.Current().Version(), uint64(3))
	is.True(!f.Fresh()) // an older head confirms nothing
}

func TestDigestMismatchIsNotApplied(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	c.write(t, 1, setWith(t, ""))
	c.refreshAll()
	h := c.write(t, 2, setWith(t, "[team.x]\n"))
	is.NoErr(c.platform.PutObject(t.Context(), ObjectName(h.Digest), []byte("[team.evil]\n")))
	c.refreshAll()
	is.Equal(f.Current().Version(), uint64(1))
	c.timers.Advance(DefaultPeriod + DefaultGrace + 1)
	c.refreshAll()
	is.True(!f.Fresh()) // the head shows that version 1 is no longer the newest
}

func TestObjectStoreLagsBehindTable(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	c.platform.SetFaults(store.Faults{Lag: time.Second})
	c.write(t, 1, setWith(t, ""))
	c.refreshAll()
	is.True(f.Current() == nil)
	c.timers.Advance(time.Second)
	c.refreshAll()
	is.Equal(f.Current().Version(), uint64(1))
}

func TestNewHostGetsConfigurationFromPeers(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	c.start("a", "z1")
	c.write(t, 1, setWith(t, ""))
	c.refreshAll()
	c.timers.Advance(time.Millisecond)
	c.platform.SetFaults(store.Faults{Down: true})
	b := c.start("b", "z2")
	c.refreshAll()
	is.Equal(b.Current().Version(), uint64(1))
	is.True(!b.Fresh()) // the read that confirmed it was sent before b started
}

// TestUnlistedHostHonoursNoKeys checks that a process that isn't listed accepts
// no keys: publishers don't wait for it, so its version may not be the newest.
func TestUnlistedHostHonoursNoKeys(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	c.write(t, 1, setWith(t, ""))
	is.NoErr(f.read(t.Context()))
	is.Equal(f.Current().Version(), uint64(1))
	is.True(!f.Fresh())
	c.timers.Advance(time.Millisecond)
	c.refreshAll()
	is.True(f.Fresh())
}

// TestPulledReadFromBeforeListing checks that a read that a peer sent before
// this process was listed confirms nothing, even at the same clock reading. A
// publisher may have scanned the list in between, without this process.
func TestPulledReadFromBeforeListing(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	c.start("a", "z1")
	b := c.start("b", "z2")
	c.noPlatform["b"] = true
	c.write(t, 1, setWith(t, ""))
	c.followers["a"].refresh(t.Context())
	c.write(t, 2, setWith(t, "[team.x]\n"))
	b.refresh(t.Context())
	is.Equal(b.Head().Version, uint64(1))
	is.True(!b.Fresh())
}

func TestJoinThroughPeer(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	c.start("a", "z1")
	b := c.start("b", "z2")
	c.write(t, 1, setWith(t, ""))
	c.noPlatform["b"] = true
	for range 2 {
		c.refreshAll()
		c.timers.Advance(DefaultInterval)
	}
	is.True(b.Fresh())
	row, err := c.platform.Get(t.Context(), Table, memberPrefix+"b")
	is.NoErr(err)
	is.Equal(row.Version, uint64(1))
}

// TestRestartCountsNoEarlierRead checks that a restarted host doesn't take an
// old version as confirmed from a peer that lags, after its earlier process had
// applied a newer one.
func TestRestartCountsNoEarlierRead(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	a := c.start("a", "z1")
	b := c.start("b", "z1")
	c.write(t, 1, setWith(t, ""))
	c.refreshAll()
	c.write(t, 2, setWith(t, "[team.x]\n"))
	b.refresh(t.Context())
	is.Equal(b.Current().Version(), uint64(2))
	c.timers.Advance(time.Millisecond)
	c.platform.SetFaults(store.Faults{Down: true})
	b = c.start("b", "z1")
	is.NoErr(b.pull(t.Context(), c.peers[0]))
	is.True(a.Fresh())
	is.Equal(b.Current().Version(), uint64(1))
	is.True(!b.Fresh())
}

// TestSlowPeerMakesOlder checks that the age of a pulled head counts from when
// the request was sent, not from the reply.
func TestSlowPeerMakesOlder(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	a, b := c.start("a", "z1"), c.start("b", "z1")
	c.write(t, 1, setWith(t, ""))
	is.True(!b.join(t.Context()))
	c.timers.Advance(time.Second)
	a.refresh(t.Context())
	c.timers.Advance(time.Second)
	c.replyDelay = time.Second
	is.NoErr(b.pull(t.Context(), c.peers[0]))
	age, ok := b.Age()
	is.True(ok)
	is.True(age >= 2*time.Second)
}

// TestReadsAreBounded counts reads of the platform in a second, with two
// processes per host, at the present size of the fleet (9 hosts) and the
// planned one (200).
func TestReadsAreBounded(t *testing.T) {
	tests := map[string]struct {
		zones, perZone int
		most           int64
	}{
		"9 hosts":   {zones: 4, perZone: 5, most: 400},
		"200 hosts": {zones: 9, perZone: 45, most: 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCell()
			c.write(t, 1, setWith(t, ""))
			for z := range tt.zones {
				for i := range tt.perZone {
					c.start(number(float64(z))+"-"+number(float64(i)), number(float64(z)))
				}
			}
			for range 6 { // until all have the configuration
				c.refreshAll()
				c.timers.Advance(DefaultInterval)
			}
			before := c.reads()
			for range time.Second / DefaultInterval {
				c.refreshAll()
				c.timers.Advance(DefaultInterval)
			}
			reads := c.reads() - before
			t.Logf("%d reads a second", reads)
			is.True(reads <= tt.most)
			for _, f := range c.followers {
				is.True(f.Fresh())
			}
		})
	}
}

// TestPausedSource checks that a process whose parent accepts calls but never
// replies reads the platform before its version lapses.
func TestPausedSource(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	c.start("a", "z1", WithReaders(1))
	c.start("b", "z1", WithReaders(1))
	c.write(t, 1, setWith(t, ""))
	c.refreshFor(time.Second)
	child := c.followers["a"]
	source, ok := child.parent()
	if !ok {
		child = c.followers["b"]
		source, _ = child.parent()
	}
	c.hungAddress = source.Address
	before, _ := child.Age()
	pending := c.timers.Pending()
	var g errgroup.Group
	g.Go(func() error { child.refresh(t.Context()); return nil })
	for c.timers.Pending() == pending {
		time.Sleep(time.Millisecond) // until the call is in flight
	}
	c.timers.Advance(DefaultPeriod / 4)
	is.NoErr(g.Wait())
	age, ok := child.Age()
	is.True(ok)
	is.Equal(age, time.Duration(0))
	is.True(before+DefaultPeriod/4 < DefaultPeriod)
}

func (c *testCell) reads() int64 {
	sum := int64(0)
	for _, f := range c.followers {
		sum += f.counts.reads.Count()
	}
	return sum
}
