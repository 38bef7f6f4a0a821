package cell

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/setup"
)

// plan holds the addresses of all processes of a deployment.
type plan struct {
	spec     Spec
	platform string // the platform's own address, which is never cut off
	zones    []*zone
}

func newPlan(spec Spec) (*plan, error) {
	ports := newPortAllocator()
	p := &plan{spec: spec}
	err := p.allocate(ports)
	if closeErr := ports.release(); err == nil {
		err = closeErr
	}
	return p, err
}

func (p *plan) allocate(ports *portAllocator) error {
	var err error
	if p.platform, err = ports.tcp(); err != nil {
		return err
	}
	for _, name := range p.spec.Zones {
		z := &zone{name: name}
		if z.platform, err = ports.tcp(); err != nil {
			return err
		}
		for i := range p.spec.Hosts {
			h := &host{name: name + "-" + strconv.Itoa(i+1), zone: name}
			if err := h.allocate(ports); err != nil {
				return err
			}
			z.hosts = append(z.hosts, h)
		}
		if err := z.allocateEndpoints(ports, p.spec); err != nil {
			return err
		}
		p.zones = append(p.zones, z)
	}
	return nil
}

func (z *zone) allocateEndpoints(ports *portAllocator, spec Spec) error {
	executors, err := allocateAddresses(ports, spec.Executors)
	if err != nil {
		return err
	}
	workers, err := allocateAddresses(ports, spec.Workers)
	if err != nil {
		return err
	}
	lag := setup.Duration(spec.UsageLag)
	if len(executors) > 0 {
		z.groups = append(z.groups, group{Name: "e-" + z.name, Kind: "executor", Fence: spec.Fence, Zone: z.name, Rack: "ge-" + z.name,
			RackSize: spec.Rack, Addresses: executors, Capacity: spec.Executor, Lag: lag})
	}
	if len(workers) > 0 {
		z.groups = append(z.groups, group{Name: "w-" + z.name, Kind: "worker", Fence: spec.Fence, Zone: z.name, Rack: "rw-" + z.name,
			RackSize: spec.Rack, Addresses: workers, Capacity: spec.Worker, Lag: lag})
	}
	return nil
}

func allocateAddresses(ports *portAllocator, n int) ([]string, error) {
	list := make([]string, 0, n)
	for range n {
		a, err := ports.tcp()
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

// peers returns the entries or the placers of all hosts, except the one on the
// host named except. linkOf selects the UDP address.
func (p *plan) peers(linkOf func(*host) string, except string) []peer {
	list := make([]peer, 0)
	for _, z := range p.zones {
		for _, h := range z.hosts {
			if h.name != except {
				list = append(list, peer{Name: h.name, Zone: h.zone, Link: linkOf(h)})
			}
		}
	}
	return list
}
