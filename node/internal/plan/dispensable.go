package plan

import "container/heap"

// dispensable is a heap of jobs of one rank that are to be in time. The first is the one of the worst
// priority with the least worth for its work.
type dispensable []*candidate

var _ heap.Interface = (*dispensable)(nil)

func (d dispensable) Len() int { return len(d) }

func (d dispensable) Less(i, j int) bool {
	a, b := d[i], d[j]
	switch {
	case a.priority != b.priority:
		return a.priority > b.priority
	case a.density != b.density:
		return a.density < b.density
	}
	return compareSlacks(b, a) < 0
}

func (d dispensable) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a *candidate.
func (d *dispensable) Push(x any) { *d = append(*d, x.(*candidate)) } //nolint:forcetypeassert // Nothing else is pushed.

// Pop removes the last one.
func (d *dispensable) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
