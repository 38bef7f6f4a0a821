package cell

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/setup"
)

// plan is where everything of a deployment stands.
type plan struct {
	spec     Spec
	platform string // the platform's own address, which is never cut off
	zones    []*zone
}

func newPlan(spec Spec) (*plan, error) {
	held := new(ports)
	p := &plan{spec: spec}
	err := p.pick(held)
	if closeErr := held.release(); err == nil {
		err = closeErr
	}
	return p, err
}

func (p *plan) pick(held *ports) error {
	var err error
	if p.platform, err = held.tcp(); err != nil {
		return err
	}
	for _, name := range p.spec.Zones {
		z := &zone{name: name}
		if z.platform, err = held.tcp(); err != nil {
			return err
		}
		for i := range p.spec.Hosts {
			h := &host{name: name + "-" + strconv.Itoa(i+1), zone: name}
			if err := h.pick(held); err != nil {
				return err
			}
			z.hosts = append(z.hosts, h)
		}
		if err := z.pickEndpoints(held, p.spec); err != nil {
			return err
		}
		p.zones = append(p.zones, z)
	}
	return nil
}

func (z *zone) pickEndpoints(held *ports, spec Spec) error {
	executors, err := addresses(held, spec.Executors)
	if err != nil {
		return err
	}
	workers, err := addresses(held, spec.Workers)
	if err != nil {
		return err
	}
	lag := setup.Duration(spec.UsageLag)
	if len(executors) > 0 {
		z.groups = append(z.groups, group{Name: "e-" + z.name, Kind: "executor", Fence: spec.Fence, Zone: z.name, Rack: "ge-" + z.name,
			Per: spec.Rack, Addresses: executors, Capacity: spec.Executor, Lag: lag})
	}
	if len(workers) > 0 {
		z.groups = append(z.groups, group{Name: "w-" + z.name, Kind: "worker", Fence: spec.Fence, Zone: z.name, Rack: "rw-" + z.name,
			Per: spec.Rack, Addresses: workers, Capacity: spec.Worker, Lag: lag})
	}
	return nil
}

func addresses(held *ports, n int) ([]string, error) {
	list := make([]string, 0, n)
	for range n {
		a, err := held.tcp()
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

// peers returns the entries or placers but for the one on host except.
func (p *plan) peers(link func(*host) string, except string) []peer {
	list := make([]peer, 0)
	for _, z := range p.zones {
		for _, h := range z.hosts {
			if h.name != except {
				list = append(list, peer{Name: h.name, Zone: h.zone, Link: link(h)})
			}
		}
	}
	return list
}
