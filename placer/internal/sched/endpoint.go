package sched

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Endpoint describes an endpoint as it has registered.
type Endpoint struct {
	Name     string
	Kind     point.Kind
	Zone     string
	Rack     string
	Capacity wire.Needs
	Leaving  bool // is shutting down and accepts no new work
}
