package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/conf"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
)

// waitTimeout limits the waits for conditions in these tests. They end as soon
// as the condition holds.
const waitTimeout = 30 * time.Second

// zone is one availability zone in this process: a platform, endpoints and
// placers, which communicate over loopback.
type zone struct {
	t        *testing.T
	ctx      context.Context
	group    *errgroup.Group
	timer    *timer.Service
	memory   *store.Memory
	platform string
	log      *engine.Log
	engines  map[string]*engine.Endpoint
	listed   []conf.Endpoint // endpoints in the placers' settings
	certs    string
	links    []string
	placers  []*runningPlacer
	caller   *link.Node
	history  time.Duration // how long ended jobs are kept; 0 is the default
}

// runningPlacer is a started placer of the zone.
type runningPlacer struct {
	*Daemon
	stop, kill context.CancelFunc
	done       chan error
}

func newZone(t *testing.T, placers int) *zone {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	z := &zone{t: t, ctx: ctx, group: new(errgroup.Group), timer: timer.New(), log: new(engine.Log),
		engines: make(map[string]*engine.Endpoint), certs: t.TempDir()}
	z.memory = store.New(store.WithTimer(z.timer))
	z.group.Go(func() error { return z.timer.Run(ctx) })
	t.Cleanup(func() {
		for _, p := range z.placers {
			p.kill()
			if err := <-p.done; err != nil {
				t.Log(err)
			}
		}
		cancel()
		_ = z.group.Wait()
	})
	certs, err := link.IssueFiles(z.certs)
	is.NoErr(err)
	z.platform = z.listen(func(ln net.Listener) error {
		return serve.Run(ctx, ln, serve.NewPlatform(z.memory).Handle, 0)
	})
	for range placers {
		z.links = append(z.links, freeUDP(t))
	}
	z.caller = link.New("caller", certs)
	is.NoErr(z.caller.Listen("127.0.0.1:0"))
	z.group.Go(func() error { return z.caller.Run(ctx) })
	return z
}

func (z *zone) listen(run func(ln net.Listener) error) string {
	z.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(z.t).NoErr(err)
	z.group.Go(func() error { return run(ln) })
	return ln.Addr().String()
}

// freeUDP returns an unused port of a random loopback address. On 127.0.0.1 another
// test's process could get the port before the placer does.
func freeUDP(t *testing.T) string {
	t.Helper()
	part := func() byte { return byte(1 + rand.IntN(250)) }
	c, err := net.ListenPacket("udp", net.JoinHostPort(net.IPv4(127, part(), part(), part()).String(), "0"))
	is.New(t).NoErr(err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

func (z *zone) addEndpoint(name string, kind point.Kind, rack string, capacity wire.Needs, more ...engine.Option) *engine.Endpoint {
	opts := []engine.Option{engine.WithKind(kind), engine.WithPlace("a", rack), engine.WithCapacity(capacity),
		engine.WithTimer(z.timer), engine.WithLog(z.log), engine.WithStrict(false)}
	e := engine.New(name, append(opts, more...)...)
	address := z.listen(func(ln net.Listener) error { return serve.Run(z.ctx, ln, serve.NewEndpoint(e).Handle, 0) })
	z.engines[name] = e
	z.listed = append(z.listed, conf.Endpoint{Name: name, Kind: string(kind), Zone: "a", Rack: rack, Address: address})
	return e
}

func (z *zone) settings(i int) *conf.Settings {
	s := conf.Default()
	s.Host, s.Zone, s.Link, s.Page, s.Platform = fmt.Sprintf("placer-%d", i), "a", z.links[i], "127.0.0.1:0", z.platform
	s.Level = "error"
	s.Term, s.Lease = setup.Duration(1500*time.Millisecond), setup.Duration(3*time.Second)
	s.Beat, s.Lapse = setup.Duration(100*time.Millisecond), setup.Duration(time.Second)
	s.Certs = conf.Certs{Cert: filepath.Join(z.certs, "cert.pem"), Key: filepath.Join(z.certs, "key.pem"), Authority: filepath.Join(z.certs, "authority.pem")}
	s.Endpoints = z.listed
	if z.history > 0 {
		s.History = setup.Duration(z.history)
	}
	for k, l := range z.links {
		if k != i {
			s.Peers = append(s.Peers, conf.Peer{Name: fmt.Sprintf("placer-%d", k), Zone: "a", Link: l})
		}
	}
	return &s
}

func (z *zone) start(i int) *runningPlacer {
	z.t.Helper()
	d, err := New(z.settings(i))
	is.New(z.t).NoErr(err)
	stop, stopNow := context.WithCancel(context.Background())
	kill, killNow := context.WithCancel(context.Background())
	p := &runningPlacer{Daemon: d, stop: stopNow, kill: killNow, done: make(chan error, 1)}
	z.group.Go(func() error { p.done <- d.Run(stop, kill); close(p.done); return nil })
	z.placers = append(z.placers, p)
	return p
}

// eventually waits until ok returns true. what describes the condition.
func (z *zone) eventually(what string, ok func() bool) {
	z.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	z.t.Fatalf("timed out waiting for: %s", what)
}

func (z *zone) owned(want int) func() bool {
	return func() bool {
		sum := 0
		for _, p := range z.placers {
			_, n := p.keeper.Count()
			sum += n
		}
		return sum == want
	}
}

// result is what a caller received for one request.
type result struct {
	final wire.Event
	body  []byte
	err   error
}

func (z *zone) sendRequest(p *runningPlacer, req *wire.Request) result {
	ctx, cancel := context.WithTimeout(z.ctx, waitTimeout)
	defer cancel()
	s, err := z.caller.Open(ctx, p.settings.Link, wire.VerbPlace)
	if err != nil {
		return result{err: err}
	}
	defer s.Cancel()
	if err := s.Send(req); err != nil {
		return result{err: err}
	}
	_ = s.CloseSend()
	var r result
	for {
		var ev wire.Event
		if err := s.Recv(&ev); err != nil {
			if !errors.Is(err, io.EOF) {
				r.err = err
			}
			return r
		}
		r.body = append(r.body, ev.Chunk...)
		if ev.Outcome != "" {
			r.final = ev
			return r
		}
	}
}

func quickRequest(id string, body engine.Body) *wire.Request {
	data, _ := json.Marshal(body)
	return &wire.Request{ID: id, Attempt: 1, Team: "t", Queue: "q", Kind: wire.Quick, Tasks: 1,
		Needs: wire.Needs{Slots: 1, Conns: 1}, Body: data}
}

// writeJob writes the row of a new job, like an entry that accepts it.
func (z *zone) writeJob(req *wire.Request) {
	z.t.Helper()
	is := is.New(z.t)
	ops, err := ledger.Create(ledger.Key("a", req.ID), &wire.Job{Request: *req, Zone: "a", Phase: wire.Queued}, "entry")
	is.NoErr(err)
	is.NoErr(z.memory.Commit(z.ctx, ops))
}

func (z *zone) jobRow(id string) wire.Job {
	z.t.Helper()
	is := is.New(z.t)
	row, err := z.memory.Get(z.ctx, ledger.Jobs, ledger.Key("a", id))
	is.NoErr(err)
	var j wire.Job
	is.NoErr(cbor.Unmarshal(row.Value, &j))
	return j
}

func jobRequest(id string, kind wire.Kind, tasks int, body engine.Body) *wire.Request {
	data, _ := json.Marshal(body)
	return &wire.Request{ID: id, Attempt: 1, Team: "t", Queue: "q", Kind: kind, Tasks: tasks, Idempotent: true,
		Needs: wire.Needs{CPU: 1000, Mem: 1 << 30}, Body: data}
}

func slots(n int64) wire.Needs { return wire.Needs{Slots: n, Conns: 60} }

func cores(n int64) wire.Needs { return wire.Needs{CPU: n * 1000, Mem: 128 << 30} }

func TestQuickRequestComesBackWhole(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	for i := range 4 {
		z.addEndpoint(fmt.Sprintf("e%d", i), point.Executor, "", slots(8))
	}
	z.start(0)
	z.start(1)
	z.eventually("all endpoints are owned", z.owned(4))
	for i, p := range z.placers {
		if _, owned := p.keeper.Count(); owned == 0 {
			continue
		}
		r := z.sendRequest(p, quickRequest(fmt.Sprintf("a.%d", i), engine.Body{Size: 1 << 20, Seed: 7}))
		is.NoErr(r.err)
		is.Equal(r.final.Outcome, wire.Done)
		is.Equal(int64(len(r.body)), r.final.Size)
		is.Equal(xxhash.Sum64(r.body), r.final.Sum)
	}
}

func TestJobsOfAllKinds(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 1)
	z.addEndpoint("w0", point.Worker, "r0", cores(32))
	z.addEndpoint("w1", point.Worker, "r0", cores(32))
	p := z.start(0)
	z.eventually("all endpoints are owned", z.owned(2))
	for _, kind := range []wire.Kind{wire.Batch, wire.Gang} {
		req := jobRequest("a."+string(kind), kind, 5, engine.Body{Work: setup.Duration(20 * time.Millisecond)})
		z.writeJob(req)
		r := z.sendRequest(p, req)
		is.NoErr(r.err)
		is.Equal(r.final.Outcome, wire.Done)
		z.eventually("the end is written", func() bool { return z.jobRow(req.ID).Outcome == wire.Done })
	}
	req := jobRequest("a.service", wire.Service, 3, engine.Body{})
	z.writeJob(req)
	var g errgroup.Group
	g.Go(func() error { z.sendRequest(p, req); return nil })
	z.eventually("the service runs", func() bool { return z.engines["w0"].Running()+z.engines["w1"].Running() == 3 })
	var c wire.Cancelled
	is.NoErr(z.caller.Call(z.ctx, p.settings.Link, wire.VerbCancel, wire.Lookup{ID: req.ID}, &c))
	is.True(c.Found && !c.NotRun)
	z.eventually("the service is stopped", func() bool { return z.jobRow(req.ID).Outcome == wire.Done })
	is.NoErr(g.Wait())
}
