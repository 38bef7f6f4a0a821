package params

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/oper"
)

// nameChars are the characters allowed in host and zone names. The names become
// parts of request ids, whose separators must not occur in them.
const nameChars = "abcdefghijklmnopqrstuvwxyz0123456789-"

// Settings is the content of the entry program's TOML settings file.
type Settings struct {
	Host     string       `toml:"host"`     // name of this host
	Zone     string       `toml:"zone"`     // availability zone of this host
	Zones    []string     `toml:"zones"`    // all zones of the cell
	Door     string       `toml:"door"`     // HTTP address for callers
	Page     string       `toml:"page"`     // HTTP address of metrics, health and readiness
	Link     string       `toml:"link"`     // UDP address for traffic between the system's processes
	Platform string       `toml:"platform"` // HTTP address of the platform's service
	Level    string       `toml:"level"`    // log level
	Fault    bool         `toml:"fault"`    // serve the fault injection page on the page address
	Process  setup.Limits `toml:"process"`  // CPU and memory limits
	Certs    Certs        `toml:"certs"`    // certificate of the links
	TLS      *TLS         `toml:"tls"`      // for callers; plain HTTP if the table is missing
	Oper     *Oper        `toml:"oper"`     // operator API; not served if the table is missing
	Peers    []Peer       `toml:"peers"`    // the other entry processes
	Placers  []Peer       `toml:"placers"`  // all placer processes
	Limits   Limits       `toml:"limits"`
}

// Oper is the settings of the operator API.
type Oper = oper.Settings

// Certs holds the paths of the PEM files for the links.
type Certs struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
}

// Files returns the paths in the form that package certs takes.
func (c Certs) Files() certs.Files {
	return certs.Files{Cert: c.Cert, Key: c.Key, Authority: c.Authority}
}

// TLS holds the paths of the PEM files for callers' connections.
type TLS struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Files returns the paths in the form that package certs takes.
func (t *TLS) Files() certs.Files { return certs.Files{Cert: t.Cert, Key: t.Key} }

// Peer identifies another process of the system.
type Peer struct {
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	Link string `toml:"link"`
}

// Limits limits the resources that callers can use. Default sets every field,
// so a key that is missing in the file keeps its default. History has bounds of
// its own; every other value must be greater than 0.
type Limits struct {
	Conns    int            `toml:"conns"`    // caller connections
	Shakes   int            `toml:"shakes"`   // TLS handshakes in progress
	Requests int            `toml:"requests"` // requests in progress
	Running  int            `toml:"running"`  // requests running at placers
	Waiting  int            `toml:"waiting"`  // requests of one team that wait for admission
	Header   int            `toml:"header"`   // bytes of a request's header
	Body     int            `toml:"body"`     // bytes of a request's body
	Records  int            `toml:"records"`  // request records kept
	Keep     setup.Duration `toml:"keep"`     // how long records are kept
	History  setup.Duration `toml:"history"`  // how long ended jobs are kept; must equal the placers' setting
	Shake    setup.Duration `toml:"shake"`    // timeout of a TLS handshake
	Idle     setup.Duration `toml:"idle"`     // timeout between two requests on a connection
	Read     setup.Duration `toml:"read"`     // timeout for reading one request
	Write    setup.Duration `toml:"write"`    // timeout for writing an answer without progress
	Notice   setup.Duration `toml:"notice"`   // time between not ready and drain, for the load balancer to react; requests are still served
	Drain    setup.Duration `toml:"drain"`    // how long running requests may take after that
}

// Default returns settings with every limit set.
func Default() *Settings {
	return &Settings{
		Level:   "info",
		Process: setup.DefaultLimits(),
		Limits: Limits{
			Conns: 4096, Shakes: 1024, Requests: 4096, Running: 512, Waiting: 256, Header: 8 << 10, Body: 1 << 20,
			Records: 65536, Keep: setup.Duration(5 * time.Minute), History: setup.Duration(jobs.History),
			Shake: setup.Duration(5 * time.Second),
			Idle:  setup.Duration(time.Minute), Read: setup.Duration(10 * time.Second),
			Write: setup.Duration(10 * time.Second), Drain: setup.Duration(20 * time.Second),
			Notice: setup.Duration(time.Second),
		},
	}
}

// Check implements setup.Checker.
func (s *Settings) Check() []setup.Fault {
	var faults []setup.Fault
	faults = append(faults, checkName("host", s.Host)...)
	faults = append(faults, checkName("zone", s.Zone)...)
	faults = append(faults, s.checkZones()...)
	faults = append(faults, s.checkAddresses()...)
	faults = append(faults, setup.Required("certs.cert", s.Certs.Cert)...)
	faults = append(faults, setup.Required("certs.key", s.Certs.Key)...)
	faults = append(faults, setup.Required("certs.authority", s.Certs.Authority)...)
	if s.TLS != nil {
		faults = append(faults, setup.Required("tls.cert", s.TLS.Cert)...)
		faults = append(faults, setup.Required("tls.key", s.TLS.Key)...)
	}
	faults = append(faults, s.checkPeers("peers", s.Peers)...)
	faults = append(faults, s.checkPeers("placers", s.Placers)...)
	faults = append(faults, s.Limits.check()...)
	faults = append(faults, s.Process.Check()...)
	faults = append(faults, s.checkOper()...)
	if _, err := zapcore.ParseLevel(s.Level); err != nil {
		faults = append(faults, setup.Fault{Key: "level", Text: "unknown log level; write debug, info, warn or error"})
	}
	if len(s.Placers) == 0 {
		faults = append(faults, setup.Fault{Key: "placers", Text: "missing; name at least one placer"})
	}
	return faults
}

// CheckFiles implements setup.FileChecker.
func (s *Settings) CheckFiles() []setup.Fault {
	now := time.Now()
	faults := s.Certs.Files().Faults("certs", now)
	if s.TLS != nil {
		faults = append(faults, s.TLS.Files().Faults("tls", now)...)
	}
	if s.Oper != nil {
		faults = append(faults, s.Oper.CheckFiles("oper", now)...)
	}
	return faults
}

func (s *Settings) checkZones() []setup.Fault {
	if !slices.Contains(s.Zones, s.Zone) {
		return []setup.Fault{{Key: "zones", Text: "doesn't contain this host's zone; list all zones of the cell"}}
	}
	var faults []setup.Fault
	for _, z := range s.Zones {
		faults = append(faults, checkName("zones", z)...)
	}
	return faults
}

func (s *Settings) checkAddresses() []setup.Fault {
	var faults []setup.Fault
	faults = append(faults, setup.Address("door", s.Door)...)
	faults = append(faults, setup.Address("page", s.Page)...)
	faults = append(faults, setup.Address("link", s.Link)...)
	faults = append(faults, setup.Address("platform", s.Platform)...)
	if s.Door != "" && s.Door == s.Page {
		faults = append(faults, setup.Fault{Key: "page", Text: "is the same address as door; give it another port"})
	}
	return faults
}

func (s *Settings) checkOper() []setup.Fault {
	if s.Oper == nil {
		return nil
	}
	faults := s.Oper.Check()
	for i := range faults {
		faults[i].Key = "oper." + faults[i].Key
	}
	if s.Oper.Address != "" && (s.Oper.Address == s.Door || s.Oper.Address == s.Page) {
		faults = append(faults, setup.Fault{Key: "oper.address", Text: "is the same address as door or page; give it another port"})
	}
	return faults
}

func (s *Settings) checkPeers(key string, peers []Peer) []setup.Fault {
	var faults []setup.Fault
	seen := make(map[string]bool)
	for _, p := range peers {
		faults = append(faults, checkName(key+".name", p.Name)...)
		faults = append(faults, setup.Address(key+".link", p.Link)...)
		if !slices.Contains(s.Zones, p.Zone) {
			faults = append(faults, setup.Fault{Key: key + ".zone", Text: `"` + p.Zone + `" is not in zones`})
		}
		if seen[p.Name] || key == "peers" && p.Name == s.Host {
			faults = append(faults, setup.Fault{Key: key + ".name", Text: `"` + p.Name + `" is named twice`})
		}
		if p.Link == s.Link {
			faults = append(faults, setup.Fault{Key: key + ".link", Text: "is this process's own link address"})
		}
		seen[p.Name] = true
	}
	return faults
}

func (l *Limits) check() []setup.Fault {
	var faults []setup.Fault
	counts := map[string]int{
		"conns": l.Conns, "shakes": l.Shakes, "requests": l.Requests, "running": l.Running, "waiting": l.Waiting,
		"header": l.Header, "body": l.Body, "records": l.Records,
	}
	for key, n := range counts {
		if n <= 0 {
			faults = append(faults, setup.Fault{Key: "limits." + key, Text: "has to be above 0"})
		}
	}
	times := map[string]setup.Duration{"keep": l.Keep, "shake": l.Shake, "idle": l.Idle, "read": l.Read, "write": l.Write, "notice": l.Notice, "drain": l.Drain}
	for key, d := range times {
		if d <= 0 {
			faults = append(faults, setup.Fault{Key: "limits." + key, Text: "has to be above 0"})
		}
	}
	if l.History < minHistory || l.History > maxHistory {
		faults = append(faults, setup.Fault{Key: "limits.history", Text: `has to be from "10m" to "720h"`})
	}
	slices.SortFunc(faults, func(a, b setup.Fault) int { return strings.Compare(a.Key, b.Key) })
	return faults
}

// checkName validates a host or zone name.
func checkName(key, value string) []setup.Fault {
	if value == "" {
		return setup.Required(key, value)
	}
	if strings.Trim(value, nameChars) != "" || len(value) > maxNameBytes {
		return []setup.Fault{{Key: key, Text: `"` + value + `" is no name; write at most 32 small letters, digits and "-"`}}
	}
	return nil
}

// Bounds of Limits.History. The placers' settings have the same bounds.
const (
	minHistory = setup.Duration(10 * time.Minute)
	maxHistory = setup.Duration(720 * time.Hour)
)

// maxNameBytes is the largest length of a host or zone name.
const maxNameBytes = 32
