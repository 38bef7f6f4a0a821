package hold

import "github.com/balsamford/balsamford/coord/point"

// Target is an endpoint as settings or the platform's host list name it.
type Target struct {
	Name    string
	Kind    point.Kind
	Zone    string
	Rack    string
	Address string
	Leaving bool
}

// Group returns the unit of ownership that the endpoint belongs to: its rack,
// or itself if it has none.
func (t Target) Group() string {
	if t.Rack == "" {
		return string(t.Kind) + "/" + t.Name
	}
	return string(t.Kind) + "/" + t.Rack
}
