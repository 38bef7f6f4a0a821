package daemon

import "github.com/balsamford/balsamford/coord/config"

const (
	// rolePrefix stands before a placer's name among all processes that follow
	// the configuration; a host's entry and placer go by the same name.
	rolePrefix = "placer/"
	// entryPrefix stands before an entry's name.
	entryPrefix = "entry/"
)

// peers returns the other processes that follow the configuration: those of
// the settings in all zones, and the placers of this zone that were found.
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
