package daemon

import "github.com/balsamford/balsamford/coord/config"

const (
	// rolePrefix precedes a placer's name in the roster of the configuration,
	// because the entry and the placer of a host have the same name.
	rolePrefix = "placer/"
	// entryPrefix precedes an entry's name there.
	entryPrefix = "entry/"
)

// peers returns the other processes that follow the configuration: the
// discovered placers of this zone, and the placers and entries of all zones in
// the settings.
func (d *Daemon) peers() []config.Peer {
	var out []config.Peer
	seen := make(map[string]bool)
	add := func(name, zone, address string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, config.Peer{Name: name, Zone: zone, Address: address})
		}
	}
	for _, m := range d.members.Peers() {
		add(rolePrefix+m.Name, m.Zone, m.Link)
	}
	for _, p := range d.settings.Peers {
		add(rolePrefix+p.Name, p.Zone, p.Link)
	}
	for _, p := range d.settings.Entries {
		add(entryPrefix+p.Name, p.Zone, p.Link)
	}
	return out
}
