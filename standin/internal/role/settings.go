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

// Settings are the settings of one process of the stand-in.
type Settings struct {
	Role     string   `toml:"role"`
	Name     string   `toml:"name"`
	Level    string   `toml:"level"`    // of the log
	Listen   string   `toml:"listen"`   // platform: where it serves
	Doors    []string `toml:"doors"`    // platform: further addresses, each can be cut off alone
	Lag      Lag      `toml:"lag"`      // platform
	Platform string   `toml:"platform"` // endpoints: address of the platform whose list names them
	Groups   []Group  `toml:"group"`    // endpoints
}

// Lag is how far parts of the platform lag behind.
type Lag struct {
	Hosts   setup.Duration `toml:"hosts"`
	Objects setup.Duration `toml:"objects"`
}

// Group is a number of like endpoints. They stand at consecutive ports from
// Address on, or at Addresses.
type Group struct {
	Name      string         `toml:"name"` // first part of the endpoints' names
	Kind      point.Kind     `toml:"kind"`
	Fence     point.Fence    `toml:"fence"`
	Zone      string         `toml:"zone"`
	Rack      string         `toml:"rack"` // first part of the racks' names
	Per       int            `toml:"per"`  // endpoints of one rack; 0 is all
	Count     int            `toml:"count"`
	Address   string         `toml:"address"`
	Addresses []string       `toml:"addresses"`
	Capacity  wire.Needs     `toml:"capacity"`
	Lag       setup.Duration `toml:"lag"`   // of reported usage
	Loose     bool           `toml:"loose"` // starts that take too much run, and are logged
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

// size returns the number of endpoints of the group.
func (g *Group) size() int {
	if len(g.Addresses) > 0 {
		return len(g.Addresses)
	}
	return g.Count
}

// rack returns the rack of endpoint i.
func (g *Group) rack(i int) string {
	if g.Per <= 0 {
		return g.Rack
	}
	return g.Rack + "-" + strconv.Itoa(i/g.Per+1)
}
