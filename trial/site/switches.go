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

// SetPlatform sets the platform's fault switches.
func (s *Site) SetPlatformFaults(f store.Faults) error {
	return s.pages.post(s.cell.Platform(), store.PathFault, f)
}

// SetEndpoint sets the fault switches of one endpoint.
func (s *Site) SetEndpointFaults(address string, f engine.Faults) error {
	return s.pages.post(address, point.PathFault, f)
}

// cutList names those from which a process is cut off.
type cutList struct {
	Cut []string `json:"cut"`
}

// Cut cuts zones, which go on reaching one another, off from the other zones
// and from the platform, or joins them again.
func (s *Site) Partition(zones []string, on bool) error {
	path := serve.PathCut + "?on=false"
	if on {
		path = serve.PathCut + "?on=true"
	}
	var err error
	for _, zone := range zones {
		err = errors.Join(err, s.pages.post(s.cell.PlatformAddress(zone), path, struct{}{}))
	}
	inside, outside := s.sides(zones)
	for _, d := range s.cell.EntryHosts() {
		cut := cutList{Cut: inside}
		if slices.Contains(zones, d.Zone) {
			cut.Cut = outside
		}
		if !on {
			cut.Cut = []string{}
		}
		for _, page := range []string{d.StatusAddress, d.PlacerStatusAddress} {
			err = errors.Join(err, s.pages.post(page, "/fault", cut))
		}
	}
	return err
}

// sides returns the links of the processes inside and outside of zones. Links
// are cut by address, since entry and placer of a host share its name.
func (s *Site) sides(zones []string) (inside, outside []string) {
	for _, d := range s.cell.EntryHosts() {
		if slices.Contains(zones, d.Zone) {
			inside = append(inside, d.Links...)
			continue
		}
		outside = append(outside, d.Links...)
	}
	return inside, outside
}

// Zone returns the entries and placers of a zone.
func (s *Site) ZoneProcesses(name string) []*cell.Process {
	list := slices.Concat(s.cell.ByRole(cell.RoleEntry), s.cell.ByRole(cell.RolePlacer))
	return slices.DeleteFunc(list, func(p *cell.Process) bool { return p.Zone() != name })
}

// Host returns the processes of one entry host.
func (s *Site) HostProcesses(name string) []*cell.Process {
	list := make([]*cell.Process, 0)
	for _, p := range s.cell.Processes() {
		if p.Name() == cell.RoleEntry+"-"+name || p.Name() == cell.RolePlacer+"-"+name {
			list = append(list, p)
		}
	}
	return list
}
