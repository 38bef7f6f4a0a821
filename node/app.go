package main

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/logs"
	"github.com/balsamford/balsamford/coord/meter"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/advice"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/config"
	"github.com/balsamford/balsamford/node/internal/feed"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/node/internal/front"
	"github.com/balsamford/balsamford/node/internal/owner"
	"github.com/balsamford/balsamford/node/internal/relay"
	"github.com/balsamford/balsamford/platform"
)

const (
	// storeTimeout bounds a call to the store, which usually takes some milliseconds, and
	// some hundred while the store is slow.
	storeTimeout = 1500 * time.Millisecond
	// configGap is the minimum time between two polls for a new configuration.
	configGap = 200 * time.Millisecond
	// maxSyncAge is how far the board and the configuration may lag behind the store
	// while the host is ready: it covers two failed long polls.
	maxSyncAge = 4 * time.Second
	// maxFailingAge replaces maxSyncAge while calls to the store fail: one lost long poll doesn't make the
	// host unready. In a zone that is cut off all hosts refuse submissions, and the balancer sends clients to
	// other zones only when all of them are unready.
	maxFailingAge = 1200 * time.Millisecond
	// minDrainTime is how long a stopping host keeps serving clients while it reports that
	// it isn't ready. The balancer needs that time to send them to other hosts.
	minDrainTime = 3 * time.Second
	// stopMargin is the time before the platform kills the process at which it stops
	// draining: two writes of a client's request may still have to time out.
	stopMargin = 2200 * time.Millisecond
	// clientWriteTimeout bounds a write for a client: half of the three seconds that
	// clients wait, so that there is time for a second attempt.
	clientWriteTimeout = 1500 * time.Millisecond
	// drainPoll is how often a stopping host checks whether it has drained.
	drainPoll = 50 * time.Millisecond
	// registerRetryPause is the pause after a failed registration of the host.
	registerRetryPause = 500 * time.Millisecond
)

// app holds the components of the process.
type app struct {
	startSettings *platform.Settings // at startup
	liveSettings  *settings          // in force
	process       string
	logger        *zap.Logger
	logWriter     *logs.Writer
	clock         *timer.Service
	registry      metrics.Registry
	relay         *relay.Relay
	store         *relay.Client
	configs       *config.Current
	board         *board.Board
	followers     []*follow.Follower
	node          *link.Node
	service       *front.Service
	server        *httpd.Server
	owner         *owner.Owner
	metricsPage   *meter.Server
	stopping      atomic.Bool
}

// newApp makes the components without starting them. Path is that of the settings file.
func newApp(path string, s *platform.Settings) (*app, error) {
	registry, logWriter := metrics.NewRegistry(), logs.NewWriter(os.Stdout)
	dropped := metrics.GetOrRegisterCounter("node.logs.left", registry)
	logger, err := logs.NewBounded(logWriter, "info", "node", s.Host, s.Zone, func() { dropped.Inc(1) })
	if err != nil {
		return nil, err
	}
	private, err := link.NewPrivate()
	if err != nil {
		return nil, err
	}
	a := &app{
		startSettings: s, process: strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(time.Now().UnixNano(), 36), logger: logger,
		clock: timer.New(), registry: registry, logWriter: logWriter,
	}
	a.configs = config.New(logger, config.WithRegistry(registry))
	a.board = board.New(logger)
	a.node = link.New(s.Host, private, link.WithResetSecret(s.Host), link.WithLogger(logger))
	direct := platform.NewStore(s.Store, storeTimeout, platform.WithClock(a.clock))
	a.relay = relay.New(s.Host, s.Zone, a.node, a.clock, a.board, direct, logger, registry)
	a.store = a.relay.Client(direct)
	clientStore, adviser := platform.NewStore(s.Store, clientWriteTimeout), platform.NewAdviser(s.Adviser)
	a.liveSettings = newSettings(path, s, a.clock, logger, func(s *platform.Settings) {
		direct.SetAddress(s.Store)
		clientStore.SetAddress(s.Store)
		adviser.SetAddress(s.Adviser)
	})
	boardFeed := feed.New(s.Host, s.Zone, a.node, a.clock, a.board)
	a.followers = []*follow.Follower{
		follow.New(a.store, a.clock, platform.ConfigTable, []string{""}, a.configs, follow.WithGap(configGap), follow.WithShortWait(a.evacuates), follow.WithLogger(logger)),
		follow.New(a.store, a.clock, board.Table, board.Parts(), a.board, follow.WithGap(owner.FollowGap), follow.WithFeed(boardFeed), follow.WithRecent(boardFeed.Feeding), follow.WithLogger(logger)),
	}
	boardFeed.Offer(board.Table, a.followers[1])
	a.registerConfigMetrics()
	a.owner = owner.New(owner.Deps{
		Host: s.Host, Zone: s.Zone, Process: a.process, Bounds: a.liveSettings.Bounds, Store: a.store, StoreClock: direct, Clock: a.clock, Board: a.board, Follower: a.followers[1], Feeding: boardFeed.Feeding, Configs: a.configs, Operators: a.followers[0],
		Advisers: advice.New(s.Host, a.node, adviser, a.clock, a.board),
		Connect:  func(id, address string) owner.Executor { return platform.NewExecutor(id, address) },
		Logger:   logger, Registry: registry,
	})
	a.owner.Mount(a.node)
	a.service = front.New(a.clock, a.configs, a.board, a.relay.Client(clientStore), a.followers[1], a.owner, logger, a.registry, front.WithRowSize(func() int { return a.liveSettings.Bounds().RowSize }), front.WithForecasts(a.owner))
	a.owner.SetRowCreator(a.service)
	a.server = httpd.New(a.clock, a.service, httpd.WithLogger(logger), httpd.WithRegistry(a.registry), httpd.WithLoops(1))
	a.metricsPage = meter.New(a.registry, a.unreadyReason, meter.WithPage(platform.ReadyPath, a.serveReady))
	return a, nil
}

// evacuates reports whether this host orders starts that an operator's evacuation of a zone has to end
// in time.
func (a *app) evacuates() bool { return a.liveSettings.Bounds().Evacuate > 0 && a.owner.Owning() }

// registerConfigMetrics registers the gauges of the configuration in force.
func (a *app) registerConfigMetrics() {
	_ = a.registry.Register("node.config.version", metrics.NewFunctionalGauge(func() int64 {
		if c := a.configs.Config(); c != nil {
			return c.Version
		}
		return 0
	}))
	_ = a.registry.Register("node.config.age", metrics.NewFunctionalGauge(func() int64 {
		synced := a.followers[0].SyncedAt()
		if synced.IsZero() {
			return -1
		}
		return a.clock.Now().Sub(synced).Milliseconds()
	}))
}

// run runs the components until a signal stops the process or one of them fails.
func (a *app) run(ctx context.Context, signals <-chan os.Signal) error {
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	defer endLog()
	var logGroup errgroup.Group
	logGroup.Go(func() error { return a.logWriter.Run(logCtx) })
	a.logger.Info("starting", zap.String("process", a.process), zap.String("ingress", a.startSettings.Ingress), zap.String("store", a.startSettings.Store))
	linkAddress := net.JoinHostPort(a.startSettings.IP, strconv.Itoa(a.startSettings.Ports[0]))
	if err := a.node.Listen(linkAddress); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ownerCtx, resign := context.WithCancel(ctx)
	defer resign()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.clock.Run(ctx) })
	g.Go(func() error { return a.node.Run(ctx) })
	g.Go(func() error { return a.relay.Run(ctx) })
	g.Go(func() error { return a.liveSettings.Run(ctx) })
	for _, f := range a.followers {
		g.Go(func() error { return f.Run(ctx) })
	}
	g.Go(func() error { return a.register(ctx, linkAddress) })
	g.Go(func() error { return a.service.Run(ctx) })
	g.Go(func() error { return a.server.Run(ctx, a.startSettings.Ingress) })
	g.Go(func() error { return a.metricsPage.Run(ctx, a.startSettings.Ready) })
	g.Go(func() error { return a.owner.Run(ownerCtx) })
	g.Go(func() error { return a.owner.SendNotifications(ctx) })
	g.Go(func() error {
		a.awaitStop(ctx, signals)
		a.drain(ctx, g, resign)
		cancel()
		return nil
	})
	err := g.Wait()
	a.logger.Info("stopped", zap.Error(err))
	endLog()
	_ = logGroup.Wait() // It never fails.
	return err
}

// awaitStop waits for a signal to stop or the end of ctx. SIGHUP reloads the settings.
func (a *app) awaitStop(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				a.logger.Info("stopping", zap.String("signal", sig.String()))
				return
			}
			a.liveSettings.Reload()
		}
	}
}

// drain hands over ownership, unregisters the host, and keeps serving until all requests
// are answered, but for minDrainTime at least. It gives up when only stopMargin of the
// grace period is left, or when ctx ends. What may take longer runs in g.
func (a *app) drain(ctx context.Context, g *errgroup.Group, resign context.CancelFunc) {
	began := a.clock.Now()
	a.stopping.Store(true)
	a.server.DisableKeepAlive()
	resign()
	end := began.Add(max(minDrainTime, a.liveSettings.Bounds().Grace-stopMargin))
	registered := true
	for a.clock.Now().Before(end) && ctx.Err() == nil {
		if registered && !a.owner.Owning() {
			registered = false
			g.Go(func() error { a.unregister(); return nil }) // The store may take longer than there is time.
		}
		if a.clock.Now().Sub(began) >= minDrainTime && a.server.Active() == 0 && !a.owner.Owning() {
			return
		}
		_ = a.clock.Sleep(ctx, drainPoll)
	}
}

// register writes the host's row on the board, and retries until it succeeds or ctx ends.
func (a *app) register(ctx context.Context, address string) error {
	put, err := board.Put(board.Table, board.PartOf(a.startSettings.Host, 0), board.HostKey(a.startSettings.Host), board.Host{
		Name: a.startSettings.Host, Zone: a.startSettings.Zone, Link: address, Process: a.process, Power: a.startSettings.CPU, Started: a.clock.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if _, err := a.store.Write(&platform.Write{Puts: []platform.Put{put}}); err == nil {
			return nil
		}
		_ = a.clock.Sleep(ctx, registerRetryPause)
	}
	return nil
}

// unregister deletes the host's row, so that other hosts no longer call this one.
func (a *app) unregister() {
	key := platform.Key{Table: board.Table, Part: board.PartOf(a.startSettings.Host, 0), Key: board.HostKey(a.startSettings.Host)}
	if _, err := a.store.Write(&platform.Write{Deletes: []platform.Key{key}}); err != nil {
		a.logger.Info("host not unregistered", zap.Error(err))
	}
}

// unreadyReason returns why the host isn't ready for clients, or an empty string.
func (a *app) unreadyReason() string {
	if a.stopping.Load() {
		return "leaving"
	}
	if a.configs.Config() == nil {
		return "no configuration yet"
	}
	if !a.board.Ready() {
		return "the board isn't read yet"
	}
	for _, f := range a.followers {
		age := a.clock.Now().Sub(f.SyncedAt())
		if age > maxSyncAge || f.Failing() && age > maxFailingAge {
			return "the store doesn't answer"
		}
	}
	return ""
}

// serveReady answers the balancer's readiness check.
func (a *app) serveReady(ctx *fasthttp.RequestCtx) {
	if reason := a.unreadyReason(); reason != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
	}
}
