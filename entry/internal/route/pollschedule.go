package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxLocalPolls is the maximum number of placers in this zone per poll.
	maxLocalPolls = 4
	// maxRemotePolls is the maximum number of placers in other zones per poll.
	maxRemotePolls = 2
	// remoteWatchedPerZone is how many placers of each other zone are polled. The
	// others in the zone are polled only while these are unreachable.
	remoteWatchedPerZone = 2
)

// pollSchedule selects the placers for each poll. The number of calls per poll is
// bounded, whatever the size of the cell. Its methods may be called concurrently.
type pollSchedule struct {
	local  []Placer
	remote [][]Placer // one slice per zone

	mu   sync.Mutex // guards the fields below
	turn int        // number of polls so far
}

// newPollSchedule returns a schedule for a process in zone. It shuffles the placers,
// so that the hosts of a zone don't all poll the same placers of another zone.
func newPollSchedule(zone string, placers []Placer) *pollSchedule {
	r := &pollSchedule{}
	zones := make(map[string]int)
	for _, i := range rand.Perm(len(placers)) { //nolint:gosec // Spreading load needs no secrecy.
		p := placers[i]
		if p.Zone == zone {
			r.local = append(r.local, p)
			continue
		}
		n, ok := zones[p.Zone]
		if !ok {
			n = len(r.remote)
			zones[p.Zone] = n
			r.remote = append(r.remote, nil)
		}
		r.remote[n] = append(r.remote[n], p)
	}
	return r
}

// next returns the placers for the next poll. failed reports whether a placer is
// unreachable.
func (r *pollSchedule) next(failed func(name string) bool) []Placer {
	r.mu.Lock()
	turn := r.turn
	r.turn++
	r.mu.Unlock()
	out := window(r.local, turn, maxLocalPolls)
	return append(out, window(r.watchedRemote(failed), turn, maxRemotePolls)...)
}

// watchedRemote returns the placers of other zones that are polled at present. If
// all placers of a zone are unreachable, it includes one of them.
func (r *pollSchedule) watchedRemote(failed func(name string) bool) []Placer {
	out := make([]Placer, 0, remoteWatchedPerZone*len(r.remote))
	for _, zone := range r.remote {
		found := 0
		for _, p := range zone {
			if found < remoteWatchedPerZone && !failed(p.Name) {
				out = append(out, p)
				found++
			}
		}
		if found == 0 {
			out = append(out, zone[0])
		}
	}
	return out
}

// window returns n elements of list in round-robin order: each turn continues
// where the one before ended.
func window(list []Placer, turn, n int) []Placer {
	n = min(n, len(list))
	out := make([]Placer, 0, n)
	for i := range n {
		out = append(out, list[(turn*n+i)%len(list)])
	}
	return out
}

// localPeriod returns how long it takes to poll all placers of this zone.
func (r *pollSchedule) localPeriod() time.Duration { return pollDuration(len(r.local), maxLocalPolls) }

// remotePeriod returns how long it takes to poll all watched placers of other zones.
func (r *pollSchedule) remotePeriod() time.Duration {
	return pollDuration(remoteWatchedPerZone*len(r.remote), maxRemotePolls)
}

// pollDuration returns how long it takes to poll n placers, each per poll.
func pollDuration(n, each int) time.Duration {
	return time.Duration((n+each-1)/each) * pollPeriod
}
