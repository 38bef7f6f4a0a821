package oper

import (
	"time"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/setup"
)

// Settings configures a Server. A program may include it as a table of its
// settings file.
type Settings struct {
	Address string `toml:"address"` // IP number and port
	Host    string `toml:"-"`       // name of this host, for the audit log
	// Bootstrap is the digest of a secret that may publish as long as the
	// configuration has no operator key; "balsam key bootstrap" generates
	// both.
	Bootstrap config.Digest `toml:"bootstrap"`
	Cert      string        `toml:"cert"` // path of a PEM certificate; plain HTTP if empty
	Key       string        `toml:"key"`  // path of the certificate's key
}

// Check validates the settings. The keys of the faults are relative to the
// table.
func (s Settings) Check() []setup.Fault {
	faults := setup.Address("address", s.Address)
	if s.Bootstrap != "" && !s.Bootstrap.Valid() {
		faults = append(faults, setup.Fault{Key: "bootstrap", Text: `not a digest; run "balsam key bootstrap" and write the digest that it prints`})
	}
	if (s.Cert == "") != (s.Key == "") {
		faults = append(faults, setup.Fault{Key: "cert", Text: "cert and key go together; write both or none"})
	}
	return faults
}

// Files returns the files of the server's certificate.
func (s Settings) Files() certs.Files { return certs.Files{Cert: s.Cert, Key: s.Key} }

// CheckFiles validates the files named in the settings. The keys of the faults
// begin with table.
func (s Settings) CheckFiles(table string, now time.Time) []setup.Fault {
	if s.Cert == "" || s.Key == "" {
		return nil
	}
	return s.Files().Faults(table, now)
}
