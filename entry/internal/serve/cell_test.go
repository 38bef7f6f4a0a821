package serve

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// cell is a small deployment in one process: entry hosts and fake placers in
// two zones, connected by real links, and an in-memory platform.
type cell struct {
	t        testing.TB
	certs    link.TLS
	clock    *timer.Service
	platform *store.Memory
	config   *fakeConfig
	keep     time.Duration
	running  int // limit of requests at placers, for each entry
	hosts    []record.Host
	placers  []*fakePlacer
	entries  map[string]*fakeEntry
}

// fakeEntry is an entry process without its main package.
type fakeEntry struct {
	self    record.Host
	address string
	gate    *gate
	node    *link.Node
	keeper  *record.Keeper
	table   *route.Table
	jobs    *jobs.Book
	service *Service
	server  *httpd.Server
	reg     metrics.Registry
	stop    context.CancelFunc
	done    *errgroup.Group
}

type cellOption func(*cell)

// newCell starts the entries a1 and a2 in zone a and b1 and b2 in zone b, and
// one placer in each zone.
func newCell(t testing.TB, opts ...cellOption) *cell {
	t.Helper()
	is := is.New(t)
	certs, err := link.IssueFiles(t.TempDir())
	is.NoErr(err)
	c := &cell{
		t: t, certs: certs, clock: timer.New(), platform: store.New(), config: newFakeConfig(),
		keep: time.Minute, running: 256, entries: make(map[string]*fakeEntry),
	}
	for _, opt := range opts {
		opt(c)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return c.clock.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	c.placers = []*fakePlacer{newPlacer(t, certs, "pa", "a"), newPlacer(t, certs, "pb", "b")}
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		c.hosts = append(c.hosts, record.Host{Name: name, Zone: name[:1], Link: freeUDP(t)})
	}
	for _, h := range c.hosts {
		c.start(h.Name)
	}
	t.Cleanup(func() {
		for _, e := range c.entries {
			e.kill()
		}
	})
	return c
}

// start starts an entry process, also again after kill.
func (c *cell) start(name string) *fakeEntry {
	c.t.Helper()
	return c.startAt(name, freeTCP(c.t))
}

// startAt starts an entry process that serves callers at the given address.
func (c *cell) startAt(name, address string) *fakeEntry {
	c.t.Helper()
	is := is.New(c.t)
	e := &fakeEntry{gate: &gate{}, reg: metrics.NewRegistry(), address: address}
	for _, h := range c.hosts {
		if h.Name == name {
			e.self = h
		}
	}
	e.node = link.New(name, c.certs, link.WithGate(e.gate), link.WithIdle(time.Second))
	var placers []route.Placer
	for _, p := range c.placers {
		placers = append(placers, route.Placer{Name: p.name, Zone: p.zone, Link: p.node.Address()})
	}
	ring := record.NewRing([]string{"a", "b"}, c.hosts)
	issuer := record.NewIssuer(c.clock, e.self.Zone, name)
	e.table = route.New(c.clock, e.node, e.self.Zone, placers, e.reg)
	e.keeper = record.New(c.clock, e.node, c.platform, ring, e.self, issuer, record.WithRetention(c.keep), record.WithRegistry(e.reg))
	e.jobs = jobs.New(c.clock, e.node, c.platform, ring, e.self, e.reg)
	e.service = New(Deps{
		Clock: c.clock, Config: c.config, Net: e.node, Ring: ring, Self: e.self, Issuer: issuer, Keeper: e.keeper,
		Gate: admit.New(c.clock, c.running, 64, e.reg), Table: e.table,
		Runner: relay.New(c.clock, e.node, e.table, e.reg), Jobs: e.jobs, Logger: zap.NewNop(), Registry: e.reg,
	})
	e.service.Mount(e.node)
	e.server = httpd.New(c.clock, e.service, httpd.WithRegistry(e.reg), httpd.WithLoops(1))
	is.NoErr(e.node.Listen(e.self.Link))
	ctx, cancel := context.WithCancel(context.Background())
	e.stop, e.done = cancel, &errgroup.Group{}
	e.done.Go(func() error { return e.node.Run(ctx) })
	e.done.Go(func() error { return e.table.Run(ctx) })
	e.done.Go(func() error { return e.keeper.Run(ctx) })
	e.done.Go(func() error { return e.jobs.Run(ctx, e.service.Offer) })
	e.done.Go(func() error { return e.server.Run(ctx, e.address) })
	<-e.server.Booted()
	e.table.Poll(ctx)
	e.keeper.Sync(ctx)
	c.entries[name] = e
	return e
}

// kill stops the process at once, without draining.
func (e *fakeEntry) kill() {
	e.service.Abort()
	e.stop()
	_ = e.done.Wait()
}
