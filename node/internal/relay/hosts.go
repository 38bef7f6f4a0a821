package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamford/balsamford/node/internal/board"
)

// forwardHosts returns up to n hosts to forward a call to. Those through which the last call
// failed come last, that with the latest failure at the very end. Of the others, the host
// that served the last call comes first, then one of each availability zone in turn, this
// host's own first, since hosts of a zone are often lost together. It returns none during
// a forwardPause, nor after the context of Run has ended: the process then waits for the
// calls under way.
func (r *Relay) forwardHosts(n int) []board.Host {
	hosts := slices.DeleteFunc(r.hosts.Hosts(), func(h board.Host) bool { return h.Name == r.host })
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.clock.Now().Before(r.noForwardUntil) {
		return nil
	}
	maps.DeleteFunc(r.failedHosts, func(name string, _ time.Time) bool {
		return !slices.ContainsFunc(hosts, func(h board.Host) bool { return h.Name == name })
	})
	byFailure := func(a, b board.Host) int { return r.failedHosts[a.Name].Compare(r.failedHosts[b.Name]) }
	slices.SortStableFunc(hosts, byFailure)
	ranks, inZone := make(map[string]int, len(hosts)), make(map[string]int)
	for _, h := range hosts {
		ranks[h.Name] = 2 * inZone[h.Zone]
		inZone[h.Zone]++
		switch {
		case h.Name == r.viaHost:
			ranks[h.Name] = -1
		case h.Zone != r.zone:
			ranks[h.Name]++
		}
	}
	slices.SortStableFunc(hosts, func(a, b board.Host) int { return cmp.Or(byFailure(a, b), ranks[a.Name]-ranks[b.Name]) })
	return hosts[:min(n, len(hosts))]
}

// noteHost notes whether a call through a host succeeded.
func (r *Relay) noteHost(name string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.failedHosts, name)
		return
	}
	r.failedHosts[name] = r.clock.Now()
}
