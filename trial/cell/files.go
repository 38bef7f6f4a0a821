package cell

import (
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/setup"
)

// The roles of processes.
const (
	RoleEntry     = "entry"
	RolePlacer    = "placer"
	RolePlatform  = "platform"
	RoleEndpoints = "endpoints"
)

// writeFiles writes certificates and settings files into dir and returns the
// processes that use them, in start order.
func (p *plan) writeFiles(dir, binaries string) ([]*Process, error) {
	if _, err := link.IssueFiles(dir); err != nil {
		return nil, err
	}
	w := &settingsWriter{dir: dir, binaries: binaries}
	w.add(RolePlatform, "platform", "", "standin", p.platformSettings())
	for _, z := range p.zones {
		w.add(RoleEndpoints, "endpoints-"+z.name, z.name, "standin", standinSettings{Role: RoleEndpoints,
			Name: "endpoints-" + z.name, Level: p.spec.Level, Platform: p.platform, Groups: z.groups})
	}
	certFiles := certs{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem")}
	for _, z := range p.zones {
		for _, h := range z.hosts {
			w.add(RolePlacer, "placer-"+h.name, z.name, "placer", p.placerSettings(z, h, certFiles))
		}
	}
	for _, z := range p.zones {
		for _, h := range z.hosts {
			w.add(RoleEntry, "entry-"+h.name, z.name, "entry", p.entrySettings(z, h, certFiles))
		}
	}
	return w.processes, w.err
}

func (p *plan) platformSettings() standinSettings {
	zoneAddresses := make([]string, 0, len(p.zones))
	for _, z := range p.zones {
		zoneAddresses = append(zoneAddresses, z.platform)
	}
	return standinSettings{Role: RolePlatform, Name: "platform", Level: p.spec.Level, Listen: p.platform, ZoneAddresses: zoneAddresses,
		Lag: &lags{Hosts: setup.Duration(p.spec.HostLag), Objects: setup.Duration(p.spec.ObjectLag)}}
}

func (p *plan) placerSettings(z *zone, h *host, certFiles certs) placerSettings {
	return placerSettings{
		Host: h.name, Zone: z.name, Link: h.placerLink, StatusAddress: h.placerStatus, Platform: z.platform,
		Level: p.spec.Level, Fault: true, Certs: certFiles, Peers: p.peers(func(h *host) string { return h.placerLink }, h.name),
	}
}

func (p *plan) entrySettings(z *zone, h *host, certFiles certs) entrySettings {
	return entrySettings{
		Host: h.name, Zone: z.name, Zones: p.spec.Zones, Address: h.entryAddress, StatusAddress: h.entryStatus, Link: h.entryLink,
		Platform: z.platform, Level: p.spec.Level, Fault: true, Certs: certFiles,
		Oper:    operatorSettings{Address: h.operatorAddress},
		Peers:   p.peers(func(h *host) string { return h.entryLink }, h.name),
		Placers: p.peers(func(h *host) string { return h.placerLink }, ""),
	}
}

// settingsWriter writes one settings file for each process. After the first
// error it writes nothing more.
type settingsWriter struct {
	dir       string
	binaries  string
	processes []*Process
	err       error
}

func (w *settingsWriter) add(role, name, zone, program string, settings any) {
	if w.err != nil {
		return
	}
	path := filepath.Join(w.dir, name+".toml")
	data, err := toml.Marshal(settings)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		w.err = &ProcessError{Name: name, Err: err}
		return
	}
	w.processes = append(w.processes, &Process{name: name, role: role, zone: zone,
		binary: filepath.Join(w.binaries, program), config: path, output: filepath.Join(w.dir, name+".log")})
}
