package daemon

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/logs"
	"github.com/balsamford/balsamford/coord/meter"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/quota"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/borrow"
	"github.com/balsamford/balsamford/placer/internal/conf"
	"github.com/balsamford/balsamford/placer/internal/exec"
	"github.com/balsamford/balsamford/placer/internal/fence"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/hosts"
	"github.com/balsamford/balsamford/placer/internal/jobs"
	"github.com/balsamford/balsamford/placer/internal/limit"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
	"github.com/balsamford/balsamford/placer/internal/serve"
	"github.com/balsamford/balsamford/placer/internal/usage"
)

// Daemon is a placer process with all of its parts.
type Daemon struct {
	settings   *conf.Settings
	log        *zap.Logger
	registry   metrics.Registry
	timer      *timer.Service
	epoch      uint64 // of the process
	gate       *gate
	certs      *certs.Loader
	node       *link.Node
	members    *roster.Roster
	table      *store.Client
	client     *point.Client
	sched      *sched.Scheduler
	dispatcher *queue.Dispatcher
	guard      *fence.Guard
	keeper     *hold.Keeper
	driver     *jobs.Driver
	limits     *borrow.Limiter
	mover      *borrow.Mover
	usage      *usage.Exchange
	quota      *quota.Keeper
	runner     *exec.Runner
	server     *serve.Server
	finder     *hosts.Finder
	follower   *config.Follower
}

// New returns a placer with the given settings. It listens, but doesn't serve
// before Run.
func New(s *conf.Settings) (*Daemon, error) {
	log, err := logs.New(s.Level, "placer", s.Host, s.Zone)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, log: log, registry: metrics.NewRegistry(), timer: timer.New(), gate: newGate()}
	d.certs, err = certs.New("link", s.Certs.Files(), d.timer, certs.WithLog(log), certs.WithMetrics(d.registry))
	if err != nil {
		return nil, err
	}
	d.epoch = uint64(d.timer.Now().UnixNano())
	d.node = link.New(s.Host, link.NewCerts(d.certs), link.WithGate(d.gate))
	d.table = store.NewClient(s.Platform, store.WithClientRegistry(d.registry))
	d.client = point.NewClient()
	d.members = roster.New(
		roster.Member{Name: s.Host, Zone: s.Zone, Link: s.Link, Epoch: d.epoch},
		d.timer, roster.WithLapse(time.Duration(s.Lapse)))
	d.build()
	if err := d.node.Listen(s.Link); err != nil {
		return nil, err
	}
	return d, nil
}

// build creates the parts that depend on one another and connects them.
func (d *Daemon) build() {
	s := d.settings
	self := borrow.Name(d.members.Self())
	d.limits = borrow.NewLimiter(limit.New(self, s.Zone, d.timer), self)
	d.sched = sched.New(sched.WithTimer(d.timer), sched.WithLimit(d.limits))
	d.dispatcher = queue.New(d.sched)
	d.dispatcher.SetNames(self, d.nextOwner)
	tag := uint16(d.epoch ^ d.epoch>>16 ^ d.epoch>>32 ^ d.epoch>>48)
	d.guard = fence.New(d.table, d.timer, peerPlacers{d}, time.Duration(s.Term))
	d.keeper = hold.New(s.Host, tag, d.members, d.client, d.timer, d.dispatcher,
		hold.WithTerm(time.Duration(s.Term)), hold.WithLease(time.Duration(s.Lease)),
		hold.WithFencer(d.guard),
		hold.WithWitness(peerPlacers{d}))
	d.driver = jobs.New(s.Host, s.Zone, jobs.Parts{
		Timer: d.timer, Table: d.table, Queue: d.dispatcher, Owner: d.keeper, Client: d.client,
		Members: d.members, Caller: d.node, Log: d.log, Metrics: d.registry, Promise: d.guard.Promise,
		History: time.Duration(s.History),
	})
	d.mover = borrow.New(d.limits, s.Zone, d.table, d.members, d.node, d.timer, d.driver, d.log)
	d.node.Handle(wire.VerbPart, link.HandlerFunc(d.mover.Handle))
	d.dispatcher.Attach(d.driver, d.keeper)
	d.runner = exec.New(d.timer, d.dispatcher, d.keeper, d.client, d.registry)
	d.server = serve.New(d.timer, d.runner, d.driver, exec.NewSettler(d.runner, d.keeper, d.livePlacers), d.currentLoad, d.refusalReason)
	d.finder = hosts.New(s, d.table, d.keeper, d.members)
	d.follower = config.NewFollower(rolePrefix+s.Host, s.Zone, d.table, d.timer,
		config.WithPeers(config.RosterFunc(d.peers), d.node, s.Link), config.WithLog(d.log), config.WithMetrics(d.registry))
	d.follower.Subscribe(d.applyConfig)
	d.follower.Register(d.node)
	d.quota = quota.New(d.table, d.follower, d.timer, s.Zones(), d.log)
	d.server.Register(d.node)
	d.node.Handle(wire.VerbBeat, link.HandlerFunc(d.members.Handle))
	d.node.Handle(wire.VerbNote, link.HandlerFunc(d.driver.Note))
	d.usage = d.newUsage()
	d.registerGauges()
}

// Run serves until stop ends, then drains and returns. The end of kill stops it
// immediately.
func (d *Daemon) Run(stop, kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.timer.Run(ctx) })
	g.Go(func() error { return d.node.Run(ctx) })
	g.Go(func() error { return d.certs.Run(ctx) })
	g.Go(func() error { return d.statusServer().Run(ctx, d.settings.Page) })
	g.Go(func() error { return d.members.Run(ctx, d.node, d.timer, time.Duration(d.settings.Beat)) })
	g.Go(func() error { return d.dispatcher.Run(ctx, d.timer) })
	g.Go(func() error { return d.driver.Run(ctx) })
	g.Go(func() error {
		return d.runner.RevokeAbandoned(ctx, func(endpoint string) bool { return d.keeper.Ownership(endpoint) != nil })
	})
	g.Go(func() error { return d.follower.Run(ctx) })
	g.Go(func() error { return d.quota.Run(ctx) })
	g.Go(func() error { return d.mover.Run(ctx) })
	g.Go(func() error { return d.usage.Run(ctx) })
	g.Go(func() error { return d.manageEndpoints(ctx) })
	g.Go(func() error {
		select {
		case <-stop.Done():
			d.drain(ctx)
		case <-ctx.Done():
		}
		cancel()
		return nil
	})
	d.log.Info("placer started", zap.String("link", d.settings.Link), zap.Uint64("epoch", d.epoch))
	err := g.Wait()
	d.client.Close()
	d.table.Close()
	d.log.Info("placer stopped")
	return err
}

// manageEndpoints finds endpoints and owns them. Ownership begins only after a
// part of the lapse, when the heartbeats of the live placers have arrived, so
// that the placer doesn't open endpoints that another one should own.
func (d *Daemon) manageEndpoints(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.finder.Run(ctx, d.timer) })
	g.Go(func() error {
		if d.timer.Sleep(ctx, time.Duration(d.settings.Lapse)/2) != nil {
			return nil
		}
		return d.keeper.Run(ctx)
	})
	return g.Wait()
}

// currentLoad returns the placer's free capacity and queue lengths.
func (d *Daemon) currentLoad() wire.Load {
	l := wire.Load{
		Name: d.settings.Host, Zone: d.settings.Zone, Epoch: d.epoch,
		Free: d.sched.Free(), Queued: d.sched.Queued(), Wait: make(map[string]int64),
	}
	if c := d.follower.Current(); c != nil {
		l.Version = c.Version()
	}
	for q, w := range d.sched.OldestWaits() {
		l.Wait[q] = w.Milliseconds()
	}
	return l
}

// statusServer returns the HTTP server for metrics, health and readiness.
func (d *Daemon) statusServer() *meter.Server {
	opts := []meter.Option{meter.WithDetail(d.statusDetail)}
	if d.settings.Fault {
		opts = append(opts, meter.WithPage("/fault", d.gate.serve))
	}
	return meter.New(d.registry, d.unreadyReason, opts...)
}

// unreadyReason returns why the placer isn't ready, or an empty string if it is.
func (d *Daemon) unreadyReason() string {
	if d.server.Leaving() {
		return "leaving"
	}
	if known, owned := d.keeper.Count(); known > 0 && owned == 0 && len(d.members.Names()) == 1 {
		return "owns no endpoint"
	}
	return ""
}

// statusDetail returns further information for operators: problems with the
// certificates, if there are any.
func (d *Daemon) statusDetail() []string {
	if text := d.certs.Detail(); text != "" {
		return []string{text}
	}
	return nil
}
