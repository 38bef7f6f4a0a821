package cell

import (
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

// The types below hold those settings of the programs that a deployment sets.

// entrySettings is the settings file of an entry.
type entrySettings struct {
	Host          string           `toml:"host"`
	Zone          string           `toml:"zone"`
	Zones         []string         `toml:"zones"`
	Address       string           `toml:"door"`
	StatusAddress string           `toml:"page"`
	Link          string           `toml:"link"`
	Platform      string           `toml:"platform"`
	Level         string           `toml:"level"`
	Fault         bool             `toml:"fault"`
	Oper          operatorSettings `toml:"oper"`
	Certs         certs            `toml:"certs"`
	Peers         []peer           `toml:"peers,omitempty"`
	Placers       []peer           `toml:"placers"`
}

// placerSettings is the settings file of a placer.
type placerSettings struct {
	Host          string `toml:"host"`
	Zone          string `toml:"zone"`
	Link          string `toml:"link"`
	StatusAddress string `toml:"page"`
	Platform      string `toml:"platform"`
	Level         string `toml:"level"`
	Fault         bool   `toml:"fault"`
	Certs         certs  `toml:"certs"`
	Peers         []peer `toml:"peers,omitempty"`
}

// standinSettings is the settings file of a stand-in process.
type standinSettings struct {
	Role          string   `toml:"role"`
	Name          string   `toml:"name"`
	Level         string   `toml:"level"`
	Listen        string   `toml:"listen,omitempty"`
	ZoneAddresses []string `toml:"doors,omitempty"`
	Lag           *lags    `toml:"lag,omitempty"`
	Platform      string   `toml:"platform,omitempty"`
	Groups        []group  `toml:"group,omitempty"`
}

type operatorSettings struct {
	Address string `toml:"address"`
}

type certs struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
}

type peer struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	Link string `toml:"link"`
}

type lags struct {
	Hosts   setup.Duration `toml:"hosts"`
	Objects setup.Duration `toml:"objects"`
}

type group struct {
	Name      string         `toml:"name"`
	Kind      string         `toml:"kind"`
	Fence     string         `toml:"fence,omitempty"`
	Zone      string         `toml:"zone"`
	Rack      string         `toml:"rack"`
	RackSize  int            `toml:"per"`
	Addresses []string       `toml:"addresses"`
	Capacity  wire.Needs     `toml:"capacity"`
	Lag       setup.Duration `toml:"lag"`
}
