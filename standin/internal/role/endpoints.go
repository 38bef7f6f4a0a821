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

// connsMargin is how many connections an endpoint serves besides those that
// its capacity names, for its owners and for views.
const connsMargin = 16

// place is one endpoint and what the list of hosts says of it.
type place struct {
	engine *engine.Endpoint
	host   store.Host
}

// endpoints serves all groups and announces them to the platform. They share
// one log, so that each of them shows the events of all.
func (p *Process) endpoints(ctx context.Context, g *errgroup.Group) error {
	log := new(engine.Log)
	places := make([]*place, 0)
	for i := range p.settings.Groups {
		group := &p.settings.Groups[i]
		for n := range group.size() {
			pl, err := p.endpoint(ctx, g, group, n, log)
			if err != nil {
				return err
			}
			places = append(places, pl)
		}
	}
	p.log.Info("endpoints serve", zap.Int("count", len(places)))
	g.Go(func() error { return p.announce(ctx, places) })
	return nil
}

func (p *Process) endpoint(ctx context.Context, g *errgroup.Group, group *Group, n int, log *engine.Log) (*place, error) {
	address, err := group.address(n)
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
		engine.WithPlace(group.Zone, group.rack(n)), engine.WithCapacity(group.Capacity),
		engine.WithUsageLag(time.Duration(group.Lag)), engine.WithStrict(!group.Loose), engine.WithLog(log))
	conns := 0
	if group.Capacity.Conns > 0 {
		conns = int(group.Capacity.Conns) + connsMargin
	}
	g.Go(func() error { return serve.Run(ctx, ln, serve.NewEndpoint(e).Handle, conns) })
	return &place{engine: e, host: store.Host{
		Name: name, Zone: group.Zone, Address: address, Role: string(group.Kind), Rack: group.rack(n),
	}}, nil
}

// address returns where endpoint n of the group stands.
func (g *Group) address(n int) (string, error) {
	if len(g.Addresses) > 0 {
		return g.Addresses[n], nil
	}
	first, err := netip.ParseAddrPort(g.Address)
	if err != nil {
		return "", &ListenError{Address: g.Address, Err: err}
	}
	return netip.AddrPortFrom(first.Addr(), first.Port()+uint16(n)).String(), nil
}
