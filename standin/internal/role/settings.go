package role

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

// The roles of a process.
const (
	Platform  = "platform"
	Endpoints = "endpoints"
)

// Settings holds the settings of a process of the stand-in.
type Settings struct {
	Role     string   `toml:"role"`
	Name     string   `toml:"name"`
	Level    string   `toml:"level"`    // least level that is logged
	Listen   string   `toml:"listen"`   // platform: its address
	Doors    []string `toml:"doors"`    // platform: further addresses, such as one for each zone; each can be cut off separately
	Lag      Lag      `toml:"lag"`      // platform
	Platform string   `toml:"platform"` // endpoints: address of the platform that they are announced to
	Groups   []Group  `toml:"group"`    // endpoints
}

// Lag sets the delays until reads of the platform see changes.
type Lag struct {
	Hosts   setup.Duration `toml:"hosts"`   // of the host list
	Objects setup.Duration `toml:"objects"` // of stored objects
}

// Group describes endpoints with the same properties. They listen on Addresses,
// or if there are none on Count consecutive ports, the first of which is that of
// Address.
type Group struct {
	Name      string         `toml:"name"` // prefix of the endpoints' names
	Kind      point.Kind     `toml:"kind"`
	Fence     point.Fence    `toml:"fence"`
	Zone      string         `toml:"zone"`
	Rack      string         `toml:"rack"` // prefix of the racks' names, or the name if there is one rack
	Per       int            `toml:"per"`  // endpoints in each rack; 0 puts all into one
	Count     int            `toml:"count"`
	Address   string         `toml:"address"`
	Addresses []string       `toml:"addresses"`
	Capacity  wire.Needs     `toml:"capacity"`
	Lag       setup.Duration `toml:"lag"`   // until usage is reported
	Loose     bool           `toml:"loose"` // starts that exceed the capacity run and are logged, rather than refused
}

// Check implements setup.Checker.
func (s *Settings) Check() []setup.Fault {
	faults := setup.Required("name", s.Name)
	switch s.Role {
	case Platform:
		faults = append(faults, setup.Address("listen", s.Listen)...)
		for _, d := range s.Doors {
			faults = append(faults, setup.Address("doors", d)...)
		}
	case Endpoints:
		faults = append(faults, setup.Address("platform", s.Platform)...)
		for i := range s.Groups {
			faults = append(faults, s.Groups[i].check("group")...)
		}
	default:
		faults = append(faults, setup.Fault{Key: "role", Text: `write "platform" or "endpoints"`})
	}
	return faults
}

func (g *Group) check(key string) []setup.Fault {
	faults := setup.Required(key+".name", g.Name)
	faults = append(faults, setup.Required(key+".zone", g.Zone)...)
	if g.Kind != point.Executor && g.Kind != point.Worker {
		faults = append(faults, setup.Fault{Key: key + ".kind", Text: `write "executor" or "worker"`})
	}
	switch g.Fence {
	case "", point.FenceEpoch, point.FenceClock:
	default:
		faults = append(faults, setup.Fault{Key: key + ".fence", Text: `write "endpoint" or "clock"`})
	}
	if g.Count < 1 && len(g.Addresses) == 0 {
		faults = append(faults, setup.Fault{Key: key + ".count", Text: "write a number above 0"})
	}
	for _, a := range g.Addresses {
		faults = append(faults, setup.Address(key+".addresses", a)...)
	}
	if len(g.Addresses) == 0 {
		faults = append(faults, setup.Address(key+".address", g.Address)...)
	}
	if g.Capacity.IsZero() || g.Capacity.Negative() {
		faults = append(faults, setup.Fault{Key: key + ".capacity", Text: "write what one endpoint has, like {slots = 8, conns = 60}"})
	}
	return faults
}

// endpointCount returns the number of endpoints of the group.
func (g *Group) endpointCount() int {
	if len(g.Addresses) > 0 {
		return len(g.Addresses)
	}
	return g.Count
}

// rackOf returns the rack of endpoint i, counted from 0.
func (g *Group) rackOf(i int) string {
	if g.Per <= 0 {
		return g.Rack
	}
	return g.Rack + "-" + strconv.Itoa(i/g.Per+1)
}
