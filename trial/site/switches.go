package site

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/standin/serve"
	"github.com/balsamford/balsamford/trial/cell"
)

// SetPlatform sets the platform's fault switches.
func (s *Site) SetPlatform(f store.Faults) error {
	return s.pages.post(s.cell.Platform(), store.PathFault, f)
}

// SetEndpoint sets the fault switches of one endpoint.
func (s *Site) SetEndpoint(address string, f engine.Faults) error {
	return s.pages.post(address, point.PathFault, f)
}

// cutList names those from which a process is cut off.
type cutList struct {
	Cut []string `json:"cut"`
}

// Cut cuts a zone off from the other zones and from the platform, or joins it
// again.
func (s *Site) Cut(zone string, on bool) error {
	path := serve.PathCut + "?on=false"
	if on {
		path = serve.PathCut + "?on=true"
	}
	err := s.pages.post(s.cell.PlatformDoor(zone), path, struct{}{})
	inside, outside := s.sides(zone)
	for _, d := range s.cell.Doors() {
		cut := cutList{Cut: inside}
		if d.Zone == zone {
			cut.Cut = outside
		}
		if !on {
			cut.Cut = []string{}
		}
		for _, page := range []string{d.Page, d.Placer} {
			if postErr := s.pages.post(page, "/fault", cut); postErr != nil {
				err = postErr
			}
		}
	}
	return err
}

// sides returns the links of the processes inside and outside a zone. Links
// are cut by address, since entry and placer of a host share its name.
func (s *Site) sides(zone string) (inside, outside []string) {
	for _, d := range s.cell.Doors() {
		if d.Zone == zone {
			inside = append(inside, d.Links...)
			continue
		}
		outside = append(outside, d.Links...)
	}
	return inside, outside
}

// Host returns the processes of one entry host.
func (s *Site) Host(name string) []*cell.Process {
	list := make([]*cell.Process, 0)
	for _, p := range s.cell.Processes() {
		if p.Name() == cell.RoleEntry+"-"+name || p.Name() == cell.RolePlacer+"-"+name {
			list = append(list, p)
		}
	}
	return list
}
