package roster

import "slices"

// watchers is the number of members that watch each member in a large zone.
const watchers = 3

// ring is the sorted list of the names of the live members. Each member watches
// the next ones in it, and sends them heartbeats in each round.
type ring []string

// watchedBy returns the members that the given member watches.
func (r ring) watchedBy(name string) []string { return r.next(name, 1) }

// watchersOf returns the members that watch the given member.
func (r ring) watchersOf(name string) []string { return r.next(name, len(r)-1) }

// next returns up to watchers other members, going around the ring from the given
// member by step each time.
func (r ring) next(name string, step int) []string {
	i, ok := slices.BinarySearch(r, name)
	if !ok {
		return nil
	}
	var out []string
	for range min(watchers, len(r)-1) {
		i = (i + step) % len(r)
		out = append(out, r[i])
	}
	return out
}
