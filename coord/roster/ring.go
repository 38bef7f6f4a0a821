package roster

import "slices"

// watchers is how many members watch each one in a large zone.
const watchers = 3

// ring is the sorted names of the members that live. Each watches the next
// ones in it.
type ring []string

// watched returns whom the member of that name watches.
func (r ring) watched(name string) []string { return r.next(name, 1) }

// watching returns who watches the member of that name.
func (r ring) watching(name string) []string { return r.next(name, len(r)-1) }

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
