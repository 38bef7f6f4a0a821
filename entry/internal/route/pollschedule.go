package route

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// nearAsked bounds the placers of the own zone that one poll asks.
	nearAsked = 4
	// farAsked bounds the placers of other zones that one poll asks.
	farAsked = 2
	// farWatched is how many placers of each other zone are asked at all; the
	// others are only tried while these can't be reached.
	farWatched = 2
)

// rounds chooses whom each poll asks, so that a process sends the same number
// of questions whatever the size of the cell. Its methods may be called
// concurrently.
type rounds struct {
	near []Placer
	far  [][]Placer // by zone

	mu   sync.Mutex // guards the fields below
	turn int        // counts polls
}

// newRounds takes the placers in random order, so that the hosts of a zone
// don't all watch the same ones of another.
func newRounds(zone string, placers []Placer) *rounds {
	r := &rounds{}
	zones := make(map[string]int)
	for _, i := range rand.Perm(len(placers)) { //nolint:gosec // Spreading load needs no secrecy.
		p := placers[i]
		if p.Zone == zone {
			r.near = append(r.near, p)
			continue
		}
		n, ok := zones[p.Zone]
		if !ok {
			n = len(r.far)
			zones[p.Zone] = n
			r.far = append(r.far, nil)
		}
		r.far[n] = append(r.far[n], p)
	}
	return r
}

// next returns whom to ask now. failed reports placers that can't be reached.
func (r *rounds) next(failed func(name string) bool) []Placer {
	r.mu.Lock()
	turn := r.turn
	r.turn++
	r.mu.Unlock()
	out := window(r.near, turn, nearAsked)
	return append(out, window(r.watched(failed), turn, farAsked)...)
}

// watched returns the placers of other zones that are asked at present.
func (r *rounds) watched(failed func(name string) bool) []Placer {
	out := make([]Placer, 0, farWatched*len(r.far))
	for _, zone := range r.far {
		found := 0
		for _, p := range zone {
			if found < farWatched && !failed(p.Name) {
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

// window returns n elements of list, the next ones at each turn.
func window(list []Placer, turn, n int) []Placer {
	n = min(n, len(list))
	out := make([]Placer, 0, n)
	for i := range n {
		out = append(out, list[(turn*n+i)%len(list)])
	}
	return out
}

// nearPeriod returns how long it takes to ask all placers of the own zone.
func (r *rounds) nearPeriod() time.Duration { return passes(len(r.near), nearAsked) }

// farPeriod returns how long it takes to ask all that are watched elsewhere.
func (r *rounds) farPeriod() time.Duration { return passes(farWatched*len(r.far), farAsked) }

// passes returns how long n placers take at so many for each poll.
func passes(n, each int) time.Duration {
	return time.Duration((n+each-1)/each) * pollPeriod
}
