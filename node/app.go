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
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/config"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/node/internal/front"
	"github.com/balsamford/balsamford/node/internal/owner"
	"github.com/balsamford/balsamford/node/internal/peers"
	"github.com/balsamford/balsamford/node/internal/relay"
	"github.com/balsamford/balsamford/platform"
)

const (
	// storeTimeout bounds a call to the store, whose answers take some
	// milliseconds and in bad times some hundred.
	storeTimeout = 1500 * time.Millisecond
	// configGap is the least time between two looks for a new configuration.
	configGap = 200 * time.Millisecond
	// staleAfter is how old the board and the configuration may be until the host
	// is no longer ready: two long polls that failed.
	staleAfter = 4 * time.Second
	// noticeTime is how long a stopping host goes on serving after it is no longer
	// ready, so that the balancer has led its clients elsewhere.
	noticeTime = 3 * time.Second
	// stopMargin is left before the platform kills the process: two writes of a
	// client's request may still have to time out.
	stopMargin = 2200 * time.Millisecond
	// frontTimeout bounds a client's write: half of the three seconds that clients
	// wait, so that it may be tried twice.
	frontTimeout = 1500 * time.Millisecond
	// drainPoll is how often a stopping host looks whether all is answered.
	drainPoll = 50 * time.Millisecond
	// registerPause follows a failed registration of the host.
	registerPause = 500 * time.Millisecond
)

// app is all parts of the process.
type app struct {
	settings *platform.Settings // as the process began
	live     *settings          // in force
	process  string
	logger   *zap.Logger
	lines    *logs.Writer
	clock    *timer.Service
	registry metrics.Registry
	relay    *relay.Relay
	store    *relay.Client
	configs  *config.Current
	board    *board.Board
	follows  []*follow.Follower
	node     *link.Node
	service  *front.Service
	server   *httpd.Server
	owner    *owner.Owner
	page     *meter.Server
	leaving  atomic.Bool
}

// newApp builds the parts; none of them runs yet.
func newApp(path string, s *platform.Settings) (*app, error) {
	registry, lines := metrics.NewRegistry(), logs.NewWriter(os.Stdout)
	leftOut := metrics.GetOrRegisterCounter("node.logs.left", registry)
	logger, err := logs.NewBounded(lines, "info", "node", s.Host, s.Zone, func() { leftOut.Inc(1) })
	if err != nil {
		return nil, err
	}
	private, err := link.NewPrivate()
	if err != nil {
		return nil, err
	}
	a := &app{
		settings: s, process: strconv.Itoa(os.Getpid()) + "." + strconv.FormatInt(time.Now().UnixNano(), 36), logger: logger,
		clock: timer.New(), registry: registry, lines: lines,
	}
	a.configs = config.New(logger)
	a.board = board.New(logger)
	a.node = link.New(s.Host, private, link.WithResetSecret(s.Host))
	direct := platform.NewStore(s.Store, storeTimeout, platform.WithClock(a.clock))
	a.relay = relay.New(s.Host, s.Zone, a.node, a.clock, a.board, direct, logger, registry)
	a.store = a.relay.Client(direct)
	accepting, adviser := platform.NewStore(s.Store, frontTimeout), platform.NewAdviser(s.Adviser)
	a.live = newSettings(path, s, a.clock, logger, func(s *platform.Settings) {
		direct.Move(s.Store)
		accepting.Move(s.Store)
		adviser.Move(s.Adviser)
	})
	a.follows = []*follow.Follower{
		follow.New(a.store, a.clock, platform.ConfigTable, []string{""}, a.configs, follow.WithGap(configGap), follow.WithLogger(logger)),
		follow.New(a.store, a.clock, board.Table, board.Parts(), a.board, follow.WithGap(owner.FollowGap), follow.WithLogger(logger)),
	}
	a.owner = owner.New(owner.Parts{
		Host: s.Host, Zone: s.Zone, Process: a.process, Bounds: a.live.Bounds, Store: a.store, StoreClock: direct, Clock: a.clock, Board: a.board, Pacer: a.follows[1], Configs: a.configs,
		Advisers: peers.New(s.Host, a.node, adviser, a.clock, a.board),
		Connect:  func(id, address string) owner.Executor { return platform.NewExecutor(id, address) },
		Logger:   logger, Registry: registry,
	})
	a.owner.Mount(a.node)
	a.service = front.New(a.clock, a.configs, a.board, a.relay.Client(accepting), a.follows[1], a.owner, logger, a.registry)
	a.owner.ServeKeeping(a.service)
	a.server = httpd.New(a.clock, a.service, httpd.WithLogger(logger), httpd.WithRegistry(a.registry), httpd.WithLoops(1))
	a.page = meter.New(a.registry, a.unready, meter.WithPage(platform.ReadyPath, a.ready))
	return a, nil
}

// run serves until a signal ends it or a part fails.
func (a *app) run(ctx context.Context, signals <-chan os.Signal) error {
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	defer endLog()
	var logGroup errgroup.Group
	logGroup.Go(func() error { return a.lines.Run(logCtx) })
	a.logger.Info("starting", zap.String("process", a.process), zap.String("ingress", a.settings.Ingress), zap.String("store", a.settings.Store))
	linkAddress := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.Ports[0]))
	if err := a.node.Listen(linkAddress); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ruling, resign := context.WithCancel(ctx)
	defer resign()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.clock.Run(ctx) })
	g.Go(func() error { return a.node.Run(ctx) })
	g.Go(func() error { return a.relay.Run(ctx) })
	g.Go(func() error { return a.live.Run(ctx) })
	for _, f := range a.follows {
		g.Go(func() error { return f.Run(ctx) })
	}
	g.Go(func() error { return a.register(ctx, linkAddress) })
	g.Go(func() error { return a.service.Run(ctx) })
	g.Go(func() error { return a.server.Run(ctx, a.settings.Ingress) })
	g.Go(func() error { return a.page.Run(ctx, a.settings.Ready) })
	g.Go(func() error { return a.owner.Run(ruling) })
	g.Go(func() error { return a.owner.Tell(ctx) })
	g.Go(func() error {
		a.await(ctx, signals)
		a.stop(ctx, resign)
		cancel()
		return nil
	})
	err := g.Wait()
	a.logger.Info("stopped", zap.Error(err))
	endLog()
	_ = logGroup.Wait() // It never fails.
	return err
}

// await returns when the process is to stop.
func (a *app) await(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				a.logger.Info("stopping", zap.String("signal", sig.String()))
				return
			}
			a.live.Reload()
		}
	}
}

// stop hands ownership over, serves on until the balancer has noticed, and waits
// for the last answers.
func (a *app) stop(ctx context.Context, resign context.CancelFunc) {
	began := a.clock.Now()
	a.leaving.Store(true)
	a.server.DisableKeepAlive()
	resign()
	end := began.Add(max(noticeTime, a.live.Bounds().Grace-stopMargin))
	listed := true
	for a.clock.Now().Before(end) && ctx.Err() == nil {
		if listed && !a.owner.Owning() {
			listed = false
			a.unregister()
		}
		if a.clock.Now().Sub(began) >= noticeTime && a.server.Active() == 0 && !a.owner.Owning() {
			return
		}
		_ = a.clock.Sleep(ctx, drainPoll)
	}
}

// register writes the host's row of the board.
func (a *app) register(ctx context.Context, address string) error {
	put, err := board.Put(board.Table, board.PartOf(a.settings.Host, 0), board.HostKey(a.settings.Host), board.Host{
		Name: a.settings.Host, Zone: a.settings.Zone, Link: address, Process: a.process, Power: a.settings.Power,
	})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if _, err := a.store.Write(&platform.Write{Puts: []platform.Put{put}}); err == nil {
			return nil
		}
		_ = a.clock.Sleep(ctx, registerPause)
	}
	return nil
}

// unregister deletes the host's row, so that others don't count on it any more.
func (a *app) unregister() {
	key := platform.Key{Table: board.Table, Part: board.PartOf(a.settings.Host, 0), Key: board.HostKey(a.settings.Host)}
	if _, err := a.store.Write(&platform.Write{Deletes: []platform.Key{key}}); err != nil {
		a.logger.Info("host not unregistered", zap.Error(err))
	}
}

// unready returns why the host isn't ready, or an empty string.
func (a *app) unready() string {
	if a.leaving.Load() {
		return "leaving"
	}
	if a.configs.Config() == nil {
		return "no configuration yet"
	}
	if !a.board.Ready() {
		return "the board isn't read yet"
	}
	for _, f := range a.follows {
		if a.clock.Now().Sub(f.Fresh()) > staleAfter {
			return "the store doesn't answer"
		}
	}
	return ""
}

// ready answers the balancer.
func (a *app) ready(ctx *fasthttp.RequestCtx) {
	if reason := a.unready(); reason != "" {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
	}
}
