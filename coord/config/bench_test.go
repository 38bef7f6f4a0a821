package config

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// largeSet returns 5,000 objects: 47 teams with shares and limits, a policy,
// and keys and queues.
func largeSet() *Set {
	const teams, objects = 47, 5000
	s := NewSet()
	for i := range teams {
		name := fmt.Sprintf("team-%d", i)
		s.Put(&Team{Name: name})
		s.Put(&Share{Name: name, Team: name, Weight: float64(i%5 + 1)})
		s.Put(&Limit{Name: name, Team: name, Tasks: new(int64(1000))})
	}
	s.Put(&Policy{Name: "fast", Aim: AimWait})
	for i := 0; s.Len() < objects; i++ {
		team := fmt.Sprintf("team-%d", i%teams)
		if i%2 == 0 {
			name := fmt.Sprintf("key-%d", i)
			_, digest := NewSecret(name)
			s.Put(&Key{Name: name, Team: team, Digest: digest})
			continue
		}
		s.Put(&Queue{Name: fmt.Sprintf("queue-%d", i), Teams: []string{team}, Policy: "fast"})
	}
	return s
}

// BenchmarkCheck parses and checks 5,000 objects of 47 teams.
func BenchmarkCheck(b *testing.B) {
	data := largeSet().Encode()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		s, faults := Parse(File{Data: data})
		if len(faults)+len(s.Check()) > 0 {
			b.Fatal(faults)
		}
	}
}

// BenchmarkApply applies a change of one object to a version of 5,000 objects,
// as a follower does.
func BenchmarkApply(b *testing.B) {
	old := largeSet()
	next := old.Clone()
	next.Put(&Limit{Name: "team-1", Team: "team-1", Tasks: new(int64(1001))})
	change := changeBetween(NewSnapshot(1, old), NewSnapshot(2, next))
	for b.Loop() {
		set, err := change.apply(old)
		if err != nil {
			b.Fatal(err)
		}
		NewSnapshot(2, set)
	}
}

// BenchmarkKeyTeam looks up a key among 5,000 objects.
func BenchmarkKeyTeam(b *testing.B) {
	s := largeSet()
	secret, digest := NewSecret("shop")
	s.Put(&Key{Name: "shop", Team: "team-1", Digest: digest})
	snap := NewSnapshot(1, s)
	for b.Loop() {
		if _, _, ok := snap.KeyTeam(secret); !ok {
			b.Fatal("not found")
		}
	}
}

// liveCell is a set of followers that call each other through link nodes over
// loopback, on the real clock.
type liveCell struct {
	timers    *timer.Service
	platform  *store.Memory
	counts    metrics.Registry
	followers []*Follower
	waiter    *Waiter
	publisher *Publisher
}

func startLive(tb testing.TB, hosts, zones int) *liveCell {
	tb.Helper()
	is := is.New(tb)
	c := &liveCell{timers: timer.New(), counts: metrics.NewRegistry()}
	c.platform = store.New(store.WithTimer(c.timers), store.WithRegistry(c.counts))
	certs, err := link.IssueFiles(tb.TempDir())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.timers.Run(ctx) })
	peers := make([]Peer, hosts)
	roster := RosterFunc(func() []Peer { return peers })
	for i := range hosts {
		name, zone := fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%zones)
		node := link.New(name, certs)
		follower := NewFollower(name, zone, c.platform, c.timers, WithPeers(roster, node, ""))
		follower.Register(node)
		is.NoErr(node.Listen("127.0.0.1:0"))
		follower.address = node.Address()
		peers[i] = follower.self()
		c.followers = append(c.followers, follower)
		g.Go(func() error { return node.Run(ctx) })
	}
	for _, f := range c.followers {
		g.Go(func() error { return f.Run(ctx) })
	}
	tb.Cleanup(func() {
		cancel()
		is.NoErr(g.Wait())
	})
	c.publisher = NewPublisher(c.platform, c.timers, zap.NewNop())
	c.waiter = NewWaiter(c.platform, c.timers, c.followers[0], nil, zap.NewNop())
	return c
}

// publish publishes one edit and waits until it is in force everywhere.
func (c *liveCell) publish(tb testing.TB, e *Edit) Progress {
	tb.Helper()
	is := is.New(tb)
	res, err := c.publisher.Publish(context.Background(), e)
	is.NoErr(err)
	p, err := c.waiter.Wait(context.Background(), res, func(Progress) {})
	is.NoErr(err)
	return p
}

func (c *liveCell) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, c.counts).Count()
}

func (c *liveCell) bytes() int64 {
	var sum int64
	for _, f := range c.followers {
		sum += f.counts.bytes.Count()
	}
	return sum
}

// edit returns an edit that changes one limit of the large set.
func (c *liveCell) edit(i int) *Edit {
	return &Edit{
		ID: audit.NewID(time.Now()), Author: "ana", Base: AnyVersion, Action: audit.Set,
		Put: []Object{&Limit{Name: "team-1", Team: "team-1", Tasks: new(int64(1000 + i))}},
	}
}

// BenchmarkPublish publishes changes of one object among 5,000, one after
// another, and waits for each until it is in force on nine hosts in four zones.
func BenchmarkPublish(b *testing.B) {
	c := startLive(b, 9, 4)
	c.publish(b, &Edit{ID: audit.NewID(time.Now()), Author: "ana", Action: audit.Publish, Whole: largeSet()})
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	reads, writes, bytes, start := c.count("store.reads"), c.count("store.writes"), c.bytes(), time.Now()
	n := 0
	for b.Loop() {
		n++
		began := time.Now()
		c.publish(b, c.edit(n))
		_ = times.RecordValue(time.Since(began).Microseconds())
	}
	idle := time.Since(start).Seconds() * float64(len(c.followers)) * float64(time.Second/DefaultInterval)
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric((float64(c.count("store.reads")-reads)-idle)/float64(n), "reads/op")
	b.ReportMetric(float64(c.count("store.writes")-writes)/float64(n), "writes/op")
	b.ReportMetric(float64(c.bytes()-bytes)/float64(n), "followbytes/op")
}

// TestLivePublish publishes a few versions over real link nodes, to check the
// wiring.
func TestLivePublish(t *testing.T) {
	is := is.New(t)
	c := startLive(t, 9, 4)
	c.publish(t, &Edit{ID: audit.NewID(time.Now()), Author: "ana", Action: audit.Publish, Whole: largeSet()})
	for i := range 3 {
		p := c.publish(t, c.edit(i+1))
		is.True(p.Accepted)
		is.Equal(len(p.Confirmed)+len(p.Missing), 9)
	}
	for _, f := range c.followers {
		is.Equal(f.Head().Version, uint64(4))
		for end := time.Now().Add(30 * time.Second); !f.Fresh() && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond) // on a slow machine the confirmation may have lapsed
		}
		is.True(f.Fresh())
	}
}

// BenchmarkMemory measures the heap that a version uses: the first one, decoded
// from its encoding, and one derived from it by a change.
func BenchmarkMemory(b *testing.B) {
	first := NewSnapshot(1, largeSet())
	data, digest := append([]byte(nil), first.Data()...), first.Digest()
	var whole, next uint64
	for b.Loop() {
		start := heapBytes()
		snap, err := Load(1, digest, data)
		if err != nil {
			b.Fatal(err)
		}
		loaded := heapBytes()
		set := snap.Set().Clone()
		set.Put(&Limit{Name: "team-1", Team: "team-1", Tasks: new(int64(7))})
		changed := NewSnapshot(2, set)
		whole, next = loaded-start, heapBytes()-loaded
		runtime.KeepAlive(snap)
		runtime.KeepAlive(changed)
	}
	b.ReportMetric(float64(whole), "first-bytes")
	b.ReportMetric(float64(next), "next-bytes")
}

// heapBytes returns the allocated heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
