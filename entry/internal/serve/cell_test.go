package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/door"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
	"github.com/balsamford/balsamford/entry/internal/route"
)

// fakeConfig has two teams with keys, a queue of theirs and an open one.
type fakeConfig struct {
	mu    sync.Mutex // guards the fields below
	keys  map[string]string
	stale bool
}

func newFakeConfig() *fakeConfig {
	return &fakeConfig{keys: map[string]string{"k1": "red", "k2": "blue"}}
}

func (c *fakeConfig) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *fakeConfig) Team(key string) (string, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == "" {
		return "", ""
	}
	if c.stale {
		return "", wire.ReasonStale
	}
	team, ok := c.keys[key]
	if !ok {
		return "", wire.ReasonKey
	}
	return team, ""
}

func (c *fakeConfig) Check(key, queue string, _ wire.Kind) (string, string) {
	if queue == "open" {
		return "", ""
	}
	if queue != "shop" {
		return "", wire.ReasonQueue
	}
	team, reason := c.Team(key)
	if reason == "" && team == "" {
		reason = wire.ReasonKey
	}
	return team, reason
}

func (c *fakeConfig) Version() uint64 { return 1 }

// gate is a link's fault switch.
type gate struct {
	mu  sync.Mutex // guards cut
	cut map[string]bool
}

func (g *gate) Open(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut[peer]
}

func (g *gate) set(peers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = make(map[string]bool)
	for _, p := range peers {
		g.cut[p] = true
	}
}

// cell is a small deployment: entry hosts and fake placers in two zones over
// real links, and a platform in memory.
type cell struct {
	t        testing.TB
	certs    link.TLS
	clock    *timer.Service
	platform *store.Memory
	config   *fakeConfig
	keep     time.Duration
	running  int
	hosts    []record.Host
	placers  []*fakePlacer
	entries  map[string]*fakeEntry
}

// fakeEntry is one entry process without its main package.
type fakeEntry struct {
	self    record.Host
	address string
	gate    *gate
	node    *link.Node
	keeper  *record.Keeper
	table   *route.Table
	jobs    *jobs.Book
	service *Service
	server  *door.Server
	reg     metrics.Registry
	stop    context.CancelFunc
	done    *errgroup.Group
}

type cellOption func(*cell)

// newCell starts entries a1, a2 in zone a and b1, b2 in zone b, with one
// placer in each zone.
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

// start starts an entry process, or starts it again after a kill.
func (c *cell) start(name string) *fakeEntry {
	c.t.Helper()
	is := is.New(c.t)
	e := &fakeEntry{gate: &gate{}, reg: metrics.NewRegistry(), address: freeTCP(c.t)}
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
	e.keeper = record.New(c.clock, e.node, c.platform, ring, e.self, issuer, record.WithKeep(c.keep), record.WithRegistry(e.reg))
	e.jobs = jobs.New(c.clock, e.node, c.platform, ring, e.self, e.reg)
	e.service = New(Parts{
		Clock: c.clock, Config: c.config, Net: e.node, Ring: ring, Self: e.self, Issuer: issuer, Keeper: e.keeper,
		Gate: admit.New(c.clock, c.running, 64, e.reg), Table: e.table,
		Runner: relay.New(c.clock, e.node, e.table, e.reg), Jobs: e.jobs, Logger: zap.NewNop(), Registry: e.reg,
	})
	e.service.Mount(e.node)
	e.server = door.New(c.clock, e.service, door.WithRegistry(e.reg), door.WithLoops(1))
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

// kill ends the process; nothing is handed over.
func (e *fakeEntry) kill() {
	e.service.GiveUp()
	e.stop()
	_ = e.done.Wait()
}

// loopback returns an address of a loopback network that hardly another test
// uses, so that a port found free there stays so.
func loopback() string {
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	return "127." + part() + "." + part() + "." + part() + ":0"
}

func freeUDP(t testing.TB) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", loopback())
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

func freeTCP(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", loopback())
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// got is an answer as a caller sees it.
type got struct {
	code    int
	outcome wire.Outcome
	reason  string
	id      string
	body    []byte
	whole   bool
	reply   Reply
}

// ask sends one HTTP request to an entry.
func (c *cell) ask(entry, method, path, key, body string) got {
	c.t.Helper()
	is := is.New(c.t)
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.entries[entry].address+path, strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return got{reason: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	g := got{code: resp.StatusCode, id: resp.Header.Get("Request-Id"), outcome: wire.Outcome(resp.Header.Get("Outcome")), reason: resp.Header.Get("Reason")}
	g.body, err = io.ReadAll(resp.Body)
	g.whole = err == nil
	if !g.whole && !errors.Is(err, io.ErrUnexpectedEOF) {
		g.reason = err.Error()
	}
	if t := resp.Trailer.Get("Outcome"); t != "" {
		g.outcome = wire.Outcome(t)
	}
	_ = json.Unmarshal(bytes.TrimSpace(g.body), &g.reply)
	return g
}

// submit sends a request of team red.
func (c *cell) submit(entry, fields string) got {
	c.t.Helper()
	return c.ask(entry, http.MethodPost, "/v1/requests", "k1", `{"queue":"shop","kind":"quick"`+fields+`}`)
}

// starts returns how often a request was started at all placers.
func (c *cell) starts(id string) int {
	n := 0
	for _, p := range c.placers {
		n += p.started(id)
	}
	return n
}

func (c *cell) script(s ...script) {
	for _, p := range c.placers {
		p.set(s...)
	}
}

func (c *cell) host(name string) record.Host {
	for _, h := range c.hosts {
		if h.Name == name {
			return h
		}
	}
	return record.Host{}
}

// idAt returns an own id of team red whose first holder is the given host,
// with both holders in its zone.
func (c *cell) idAt(host string) string {
	ring := record.NewRing([]string{"a", "b"}, c.hosts)
	for i := 0; ; i++ {
		text := "order-" + strconv.Itoa(i)
		id, _ := record.Own("red", text)
		if first, _ := ring.Holders(id); first.Name == host {
			return text
		}
	}
}
