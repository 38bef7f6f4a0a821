package record

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Host is one configured entry host.
type Host struct {
	Name string
	Zone string
	Link string
}

// Ring maps ids to the hosts that hold their records. It is immutable: a host
// that is down remains a holder.
type Ring struct {
	zones []string
	hosts []Host
}

// NewRing returns a Ring over all zones and entry hosts of the cell.
func NewRing(zones []string, hosts []Host) *Ring {
	return &Ring{zones: slices.Clone(zones), hosts: slices.Clone(hosts)}
}

// Zone returns the home zone of an id: the zone encoded in an issued id, or the
// one that rendezvous hashing selects for a caller-supplied id.
func (r *Ring) Zone(id string) string {
	if is, ok := ParseIssued(id); ok {
		return is.Zone
	}
	best, top := "", uint64(0)
	for _, z := range r.zones {
		if w := score(z, id); best == "" || w > top {
			best, top = z, w
		}
	}
	return best
}

// Holders returns the first and the second holder of an id. The second is the
// zero Host if there is only one host.
func (r *Ring) Holders(id string) (first, second Host) {
	order := r.rankedHosts(id)
	if len(order) > 0 {
		first = order[0]
	}
	if len(order) > 1 {
		second = order[1]
	}
	return first, second
}

// rankedHosts returns all hosts in order of preference as holders: the host that
// issued the id, then the hosts of its home zone, then the others. Hosts of equal
// rank are ordered by rendezvous hashing.
func (r *Ring) rankedHosts(id string) []Host {
	issued, _ := ParseIssued(id)
	zone := r.Zone(id)
	rank := func(h Host) int {
		switch {
		case h.Name == issued.Host && h.Zone == zone:
			return 0
		case h.Zone == zone:
			return 1
		}
		return 2
	}
	out := slices.Clone(r.hosts)
	slices.SortFunc(out, func(a, b Host) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		if score(a.Name, id) > score(b.Name, id) {
			return -1
		}
		return 1
	})
	return out
}

// Elsewhere returns the hosts outside a zone in order of preference as holders of
// the id.
func (r *Ring) Elsewhere(id, zone string) []Host {
	return slices.DeleteFunc(r.rankedHosts(id), func(h Host) bool { return h.Zone == zone })
}

// Host returns the host with the given name and whether it is configured.
func (r *Ring) Host(name string) (Host, bool) {
	i := slices.IndexFunc(r.hosts, func(h Host) bool { return h.Name == name })
	if i < 0 {
		return Host{}, false
	}
	return r.hosts[i], true
}

func score(name, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
