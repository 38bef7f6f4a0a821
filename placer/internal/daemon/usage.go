package daemon

import (
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/placer/internal/usage"
)

// newUsage creates the exchange of the teams' usage with the other placers and
// registers its handler.
func (d *Daemon) newUsage() *usage.Exchange {
	s := d.settings
	self := usage.Peer{Name: s.Host, Zone: s.Zone, Link: s.Link}
	x := usage.New(self, d.epoch, d.sched, d.node, d.timer, d.usagePeers)
	d.node.Handle(usage.Verb, link.HandlerFunc(x.Handle))
	return x
}

// usagePeers returns the other placers: the discovered placers of this zone, and
// the placers of all zones in the settings.
func (d *Daemon) usagePeers() []usage.Peer {
	seen := map[string]bool{d.settings.Host: true}
	var out []usage.Peer
	add := func(p usage.Peer) {
		if !seen[p.Name] {
			seen[p.Name] = true
			out = append(out, p)
		}
	}
	for _, m := range d.members.Peers() {
		add(usage.Peer{Name: m.Name, Zone: m.Zone, Link: m.Link})
	}
	for _, p := range d.settings.Peers {
		add(usage.Peer{Name: p.Name, Zone: p.Zone, Link: p.Link})
	}
	return out
}
