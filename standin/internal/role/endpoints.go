package role

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
)

// extraConns is the number of connections that an endpoint serves beyond its
// capacity, for calls of owners and for views.
const extraConns = 16

// listedEndpoint is an endpoint and its entry in the platform's host list.
type listedEndpoint struct {
	engine *engine.Endpoint
	host   store.Host
}

// startEndpoints starts the endpoints of all groups and announces them to the
// platform. They share one event log, so each serves the events of all.
func (p *Process) startEndpoints(ctx context.Context, g *errgroup.Group) error {
	log := new(engine.Log)
	listed := make([]*listedEndpoint, 0)
	for i := range p.settings.Groups {
		group := &p.settings.Groups[i]
		for n := range group.endpointCount() {
			e, err := p.startEndpoint(ctx, g, group, n, log)
			if err != nil {
				return err
			}
			listed = append(listed, e)
		}
	}
	p.log.Info("serving endpoints", zap.Int("count", len(listed)))
	g.Go(func() error { return p.announce(ctx, listed) })
	return nil
}

// startEndpoint starts a server for endpoint n of the group.
func (p *Process) startEndpoint(ctx context.Context, g *errgroup.Group, group *Group, n int, log *engine.Log) (*listedEndpoint, error) {
	address, err := group.addressOf(n)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Err: err}
	}
	fence := group.Fence
	if fence == "" {
		fence = point.FenceEpoch
	}
	name := group.Name + "-" + strconv.Itoa(n+1)
	e := engine.New(name, engine.WithTimer(p.timer), engine.WithKind(group.Kind), engine.WithFence(fence),
		engine.WithPlace(group.Zone, group.rackOf(n)), engine.WithCapacity(group.Capacity),
		engine.WithUsageLag(time.Duration(group.Lag)), engine.WithStrict(!group.Loose), engine.WithLog(log))
	conns := 0
	if group.Capacity.Conns > 0 {
		conns = int(group.Capacity.Conns) + extraConns
	}
	g.Go(func() error { return serve.Run(ctx, ln, serve.NewEndpoint(e).Handle, conns) })
	return &listedEndpoint{engine: e, host: store.Host{
		Name: name, Zone: group.Zone, Address: address, Role: string(group.Kind), Rack: group.rackOf(n),
	}}, nil
}

// addressOf returns the address of endpoint n of the group, counted from 0.
func (g *Group) addressOf(n int) (string, error) {
	if len(g.Addresses) > 0 {
		return g.Addresses[n], nil
	}
	first, err := netip.ParseAddrPort(g.Address)
	if err != nil {
		return "", &ListenError{Address: g.Address, Err: err}
	}
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(n)).String(), nil
}
