package site

import (
	"errors"
	"slices"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
	"github.com/balsamford/balsamford/trial/cell"
)

// SetPlatformFaults sets the fault switches of the platform.
func (s *Site) SetPlatformFaults(f store.Faults) error {
	return s.status.post(s.cell.Platform(), store.PathFault, f)
}

// SetEndpointFaults sets the fault switches of one endpoint.
func (s *Site) SetEndpointFaults(address string, f engine.Faults) error {
	return s.status.post(address, point.PathFault, f)
}

// partitionRequest lists the UDP addresses from which a process is cut off.
type partitionRequest struct {
	Cut []string `json:"cut"`
}

// Partition separates the given zones from all other zones and from the
// platform, or reconnects them if on is false. The given zones still reach one
// another.
func (s *Site) Partition(zones []string, on bool) error {
	path := serve.PathCut + "?on=false"
	if on {
		path = serve.PathCut + "?on=true"
	}
	var err error
	for _, zone := range zones {
		err = errors.Join(err, s.status.post(s.cell.PlatformAddress(zone), path, struct{}{}))
	}
	inside, outside := s.splitLinks(zones)
	for _, h := range s.cell.EntryHosts() {
		request := partitionRequest{Cut: inside}
		if slices.Contains(zones, h.Zone) {
			request.Cut = outside
		}
		if !on {
			request.Cut = []string{}
		}
		for _, address := range []string{h.StatusAddress, h.PlacerStatusAddress} {
			err = errors.Join(err, s.status.post(address, "/fault", request))
		}
	}
	return err
}

// splitLinks returns the UDP addresses of the processes inside and outside the
// given zones. Links are cut by address, since the entry and the placer of a
// host share its name.
func (s *Site) splitLinks(zones []string) (inside, outside []string) {
	for _, h := range s.cell.EntryHosts() {
		if slices.Contains(zones, h.Zone) {
			inside = append(inside, h.Links...)
			continue
		}
		outside = append(outside, h.Links...)
	}
	return inside, outside
}

// ZoneProcesses returns the entries and placers of a zone.
func (s *Site) ZoneProcesses(name string) []*cell.Process {
	list := slices.Concat(s.cell.ByRole(cell.RoleEntry), s.cell.ByRole(cell.RolePlacer))
	return slices.DeleteFunc(list, func(p *cell.Process) bool { return p.Zone() != name })
}

// HostProcesses returns the placer and the entry of one host, in start order.
func (s *Site) HostProcesses(name string) []*cell.Process {
	list := make([]*cell.Process, 0)
	for _, p := range s.cell.Processes() {
		if p.Name() == cell.RoleEntry+"-"+name || p.Name() == cell.RolePlacer+"-"+name {
			list = append(list, p)
		}
	}
	return list
}
