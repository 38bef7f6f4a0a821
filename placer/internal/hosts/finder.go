package hosts

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/placer/internal/conf"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// rolePlacer is the role of placers in the host list.
const rolePlacer = "placer"

// List reads the platform's host list; *store.Client implements it.
type List interface {
	Hosts(ctx context.Context) ([]store.Host, error)
}

// Endpoints receives the endpoints of the zone; *hold.Keeper implements it.
type Endpoints interface {
	Sync(targets []hold.Target)
}

// Members receives the placers of the zone; *roster.Roster implements it.
type Members interface {
	Found(m roster.Member)
}

// Pacer waits between two reads; *timer.Service implements it.
type Pacer interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// Finder finds the endpoints and placers of one zone.
type Finder struct {
	settings  *conf.Settings
	list      List
	endpoints Endpoints
	members   Members
}

// New returns a Finder.
func New(s *conf.Settings, l List, e Endpoints, m Members) *Finder {
	return &Finder{settings: s, list: l, endpoints: e, members: m}
}

// Run reads the host list periodically until ctx ends. While the platform is
// unavailable the last list stays in effect. It always returns nil.
func (f *Finder) Run(ctx context.Context, p Pacer) error {
	f.apply(nil)
	for {
		if list, err := f.read(ctx); err == nil {
			f.apply(list)
		}
		if p.Sleep(ctx, time.Duration(f.settings.List)) != nil {
			return nil
		}
	}
}

func (f *Finder) read(ctx context.Context) ([]store.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Duration(f.settings.List))
	defer cancel()
	return f.list.Hosts(ctx)
}

func (f *Finder) apply(list []store.Host) {
	for _, p := range f.settings.Peers {
		if p.Zone == f.settings.Zone {
			f.members.Found(roster.Member{Name: p.Name, Zone: p.Zone, Link: p.Link})
		}
	}
	targets := make(map[string]hold.Target)
	for _, e := range f.settings.Endpoints {
		if e.Zone == "" || e.Zone == f.settings.Zone {
			targets[e.Name] = hold.Target{Name: e.Name, Kind: point.Kind(e.Kind), Zone: f.settings.Zone, Rack: e.Rack, Address: e.Address}
		}
	}
	for _, h := range list {
		f.add(h, targets)
	}
	all := make([]hold.Target, 0, len(targets))
	for _, t := range targets {
		all = append(all, t)
	}
	f.endpoints.Sync(all)
}

func (f *Finder) add(h store.Host, targets map[string]hold.Target) {
	if h.Zone != f.settings.Zone {
		return
	}
	switch h.Role {
	case rolePlacer:
		f.members.Found(roster.Member{Name: h.Name, Zone: h.Zone, Link: h.Address, Leaving: h.Leaving})
	case string(point.Executor), string(point.Worker):
		targets[h.Name] = hold.Target{
			Name: h.Name, Kind: point.Kind(h.Role), Zone: h.Zone, Rack: h.Rack, Address: h.Address, Leaving: h.Leaving,
		}
	}
}
