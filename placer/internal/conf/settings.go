package conf

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/setup"
)

// Settings is the content of the settings file.
type Settings struct {
	Host      string         `toml:"host"`     // name of the host, unique among placers
	Zone      string         `toml:"zone"`     // availability zone of the host
	Link      string         `toml:"link"`     // UDP address for calls between the system's processes
	Page      string         `toml:"page"`     // TCP address for metrics, health and readiness
	Platform  string         `toml:"platform"` // TCP address of the platform
	Level     string         `toml:"level"`    // minimum level of log lines
	Fault     bool           `toml:"fault"`    // serves fault switches on the page address
	Term      setup.Duration `toml:"term"`     // how long ownership of an endpoint lasts without a renewal
	Lease     setup.Duration `toml:"lease"`    // how long a task lease lasts without a renewal
	Beat      setup.Duration `toml:"beat"`     // time between heartbeats
	Lapse     setup.Duration `toml:"lapse"`    // silence after which a placer counts as dead
	List      setup.Duration `toml:"list"`     // time between reads of the platform's host list
	Drain     setup.Duration `toml:"drain"`    // maximum duration of a graceful stop
	History   setup.Duration `toml:"history"`  // how long ended jobs are kept
	Process   setup.Limits   `toml:"process"`  // processors and memory
	Certs     Certs          `toml:"certs"`
	Peers     []Peer         `toml:"peers"`
	Entries   []Peer         `toml:"entries"` // entry processes, which share versions of the configuration
	Endpoints []Endpoint     `toml:"endpoints"`
}

// Certs contains the paths of the PEM files for mutual TLS.
type Certs struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
}

// Files returns the paths for a certs.Loader.
func (c Certs) Files() certs.Files {
	return certs.Files{Cert: c.Cert, Key: c.Key, Authority: c.Authority}
}

// Peer is another placer or an entry. The placers of the platform's host list
// are used in addition.
type Peer struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	Link string `toml:"link"`
}

// Endpoint is an endpoint that is used without being in the platform's host
// list.
type Endpoint struct {
	Name    string `toml:"name"`
	Kind    string `toml:"kind"`
	Zone    string `toml:"zone"`
	Rack    string `toml:"rack"`
	Address string `toml:"address"`
}

// Zones returns the zones of this placer and all processes in the settings,
// sorted and without duplicates.
func (s *Settings) Zones() []string {
	zones := []string{s.Zone}
	for _, p := range s.Peers {
		zones = append(zones, p.Zone)
	}
	for _, p := range s.Entries {
		zones = append(zones, p.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Level:   "info",
		Term:    setup.Duration(4500 * time.Millisecond),
		Lease:   setup.Duration(9 * time.Second),
		Beat:    setup.Duration(500 * time.Millisecond),
		Lapse:   setup.Duration(2 * time.Second),
		List:    setup.Duration(time.Second),
		Drain:   setup.Duration(30 * time.Second),
		History: setup.Duration(24 * time.Hour),
		Process: setup.DefaultLimits(),
	}
}
