package hold

import "github.com/balsamford/balsamford/coord/point"

// Target is an endpoint as listed in the settings or the platform's host list.
type Target struct {
	Name    string
	Kind    point.Kind
	Zone    string
	Rack    string
	Address string
	Leaving bool
}

// Group returns the unit in which ownership is assigned: all endpoints of one
// kind in a rack, or the endpoint alone if it has no rack.
func (t Target) Group() string {
	if t.Rack == "" {
		return string(t.Kind) + "/" + t.Name
	}
	return string(t.Kind) + "/" + t.Rack
}
