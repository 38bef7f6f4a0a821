package sched

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Endpoint is what an endpoint says of itself.
type Endpoint struct {
	Name     string
	Kind     point.Kind
	Zone     string
	Rack     string
	Capacity wire.Needs
	Leaving  bool
}
