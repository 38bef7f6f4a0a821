package main

import (
	"context"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/logs"
	"github.com/balsamford/balsamford/coord/meter"
	"github.com/balsamford/balsamford/coord/quota"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/entry/internal/admit"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/oper"
	"github.com/balsamford/balsamford/entry/internal/params"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
	"github.com/balsamford/balsamford/entry/internal/route"
	"github.com/balsamford/balsamford/entry/internal/serve"
)

// app holds the components of the process.
type app struct {
	settings    *params.Settings
	logger      *zap.Logger
	clock       *timer.Service
	registry    metrics.Registry
	platform    *store.Client
	certs       *certs.Loader // certificates of the links
	callerCerts *certs.Loader // certificates for callers' connections; nil for plain HTTP
	node        *link.Node
	faults      *faults
	follower    *config.Follower
	authorizer  *authorizer
	table       *route.Table
	keeper      *record.Keeper
	jobs        *jobs.Book
	service     *serve.Service
	server      *httpd.Server
	page        *meter.Server
	oper        *oper.Server // nil if the settings don't configure it
	announcing  atomic.Bool  // not ready, but requests are still served
	leaving     atomic.Bool  // new requests are refused
}

// newApp creates the components without running them.
func newApp(s *params.Settings) (*app, error) {
	logger, err := logs.New(s.Level, "entry", s.Host, s.Zone)
	if err != nil {
		return nil, err
	}
	a := &app{settings: s, logger: logger, clock: timer.New(), registry: metrics.NewRegistry(), faults: newFaults()}
	if err := a.loadCerts(); err != nil {
		return nil, err
	}
	a.platform = store.NewClient(s.Platform)
	a.node = link.New(s.Host, link.NewCerts(a.certs), link.WithGate(a.faults))
	options := []config.Option{
		config.WithPeers(config.RosterFunc(a.peers), a.node, s.Link), config.WithLog(logger), config.WithMetrics(a.registry),
	}
	if s.Oper != nil {
		options = append(options, config.WithWriter())
	}
	a.follower = config.NewFollower(followerName(s.Host), s.Zone, a.platform, a.clock, options...)
	a.follower.Register(a.node)
	a.authorizer = &authorizer{follower: a.follower}
	a.buildServices()
	return a, nil
}

// loadCerts loads the certificates of the links and of callers' connections.
func (a *app) loadCerts() error {
	options := []certs.Option{certs.WithLog(a.logger), certs.WithMetrics(a.registry)}
	var err error
	a.certs, err = certs.New("link", a.settings.Certs.Files(), a.clock, options...)
	if err != nil || a.settings.TLS == nil {
		return err
	}
	a.callerCerts, err = certs.New("door", a.settings.TLS.Files(), a.clock, options...)
	return err
}

// followerName returns the name under which an entry process follows the
// configuration. It differs from that of a placer on the same host.
func followerName(host string) string { return "entry/" + host }

// peers returns the other processes that follow the configuration.
func (a *app) peers() []config.Peer {
	out := make([]config.Peer, 0, len(a.settings.Peers)+len(a.settings.Placers))
	for _, p := range a.settings.Peers {
		out = append(out, config.Peer{Name: followerName(p.Name), Zone: p.Zone, Address: p.Link})
	}
	for _, p := range a.settings.Placers {
		out = append(out, config.Peer{Name: p.Name, Zone: p.Zone, Address: p.Link})
	}
	return out
}

// buildServices creates the components that serve callers and operators.
func (a *app) buildServices() {
	s := a.settings
	self := record.Host{Name: s.Host, Zone: s.Zone, Link: s.Link}
	hosts := []record.Host{self}
	for _, p := range s.Peers {
		hosts = append(hosts, record.Host{Name: p.Name, Zone: p.Zone, Link: p.Link})
	}
	placers := make([]route.Placer, 0, len(s.Placers))
	for _, p := range s.Placers {
		placers = append(placers, route.Placer{Name: p.Name, Zone: p.Zone, Link: p.Link})
	}
	ring := record.NewRing(s.Zones, hosts)
	issuer := record.NewIssuer(a.clock, s.Zone, s.Host)
	a.table = route.New(a.clock, a.node, s.Zone, placers, a.registry)
	a.keeper = record.New(a.clock, a.node, a.platform, ring, self, issuer,
		record.WithRetention(time.Duration(s.Limits.Keep)), record.WithMaxRecords(s.Limits.Records), record.WithRegistry(a.registry))
	a.jobs = jobs.New(a.clock, a.node, a.platform, ring, self, a.registry, jobs.WithHistory(time.Duration(a.settings.Limits.History)))
	a.service = serve.New(serve.Deps{
		Clock: a.clock, Config: a.authorizer, Net: a.node, Ring: ring, Self: self, Issuer: issuer, Keeper: a.keeper,
		Gate:  admit.New(a.clock, s.Limits.Running, s.Limits.Waiting, a.registry),
		Table: a.table, Runner: relay.New(a.clock, a.node, a.table, a.registry), Jobs: a.jobs,
		Logger: a.logger, Registry: a.registry,
	})
	a.service.Mount(a.node)
	serverOptions := []httpd.Option{httpd.WithLimits(a.httpLimits()), httpd.WithLogger(a.logger), httpd.WithRegistry(a.registry)}
	if a.callerCerts != nil {
		serverOptions = append(serverOptions, httpd.WithTLS(a.callerCerts.PublicServer(httpd.Protocol)))
	}
	a.server = httpd.New(a.clock, a.service, serverOptions...)
	options := []meter.Option{meter.WithDetail(a.detail)}
	if s.Fault {
		options = append(options, meter.WithPage(faultPath, a.faults.page))
	}
	if s.Oper != nil {
		settings := *s.Oper
		settings.Host = s.Host
		// Placers keep the accounts of the limits. This Keeper doesn't run; it is
		// only used while a publish waits for a limit.
		limits := quota.New(a.platform, a.follower, a.clock, s.Zones, a.logger)
		a.oper = oper.New(settings, a.platform, a.follower, a.clock,
			oper.WithSettler(limits), oper.WithLog(a.logger), oper.WithMetrics(a.registry))
	}
	a.page = meter.New(a.registry, a.ready, options...)
}

// httpLimits returns the limits of the callers' HTTP server.
func (a *app) httpLimits() httpd.Limits {
	l := httpd.DefaultLimits()
	s := a.settings.Limits
	l.Conns, l.Requests, l.Header, l.Body = s.Conns, s.Requests, s.Header, s.Body
	l.Handshakes, l.Handshake = s.Shakes, time.Duration(s.Shake)
	l.Idle, l.Read, l.Write = time.Duration(s.Idle), time.Duration(s.Read), time.Duration(s.Write)
	return l
}

// ready returns why the load balancer should send no requests to this process,
// or an empty string if the process is ready.
func (a *app) ready() string {
	switch {
	case a.leaving.Load():
		return "leaving"
	case a.announcing.Load():
		return "about to leave"
	case !a.authorizer.fresh():
		return "the configuration is not confirmed"
	case !a.table.Ready():
		return "no placer can be reached"
	}
	return ""
}

// detail returns notes for operators, such as problems with certificates.
func (a *app) detail() []string {
	texts := []string{a.certs.Detail()}
	if a.callerCerts != nil {
		texts = append(texts, a.callerCerts.Detail())
	}
	if a.oper != nil {
		texts = append(texts, a.oper.Detail())
	}
	return slices.DeleteFunc(texts, func(t string) bool { return t == "" })
}

// run serves until the first signal or failure. After a signal it shuts down
// gracefully.
func (a *app) run(ctx context.Context, signals <-chan os.Signal) error {
	if err := a.node.Listen(a.settings.Link); err != nil {
		return err
	}
	st := newStages(ctx)
	st.back(a.clock.Run)
	st.back(a.node.Run)
	st.back(a.certs.Run)
	if a.callerCerts != nil {
		st.back(a.callerCerts.Run)
	}
	st.back(a.follower.Run)
	st.back(a.table.Run)
	st.back(a.keeper.Run)
	st.back(func(ctx context.Context) error { return a.jobs.Run(ctx, a.service.Offer) })
	st.back(func(ctx context.Context) error { return a.page.Run(ctx, a.settings.Page) })
	if a.oper != nil {
		st.front(a.oper.Run)
	}
	st.front(func(ctx context.Context) error { return a.server.Run(ctx, a.settings.Door) })
	a.logger.Info("entry is running", zap.String("door", a.settings.Door), zap.String("link", a.settings.Link))
	select {
	case <-st.failed():
	case <-signals:
		a.announceStop(st.ctx, signals)
		a.drain(st.ctx, signals)
	}
	err := st.end()
	a.platform.Close()
	a.logger.Info("entry has stopped", zap.Error(err))
	_ = a.logger.Sync()
	return err
}
