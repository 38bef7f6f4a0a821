package parts

import (
	"strconv"
	"strings"
)

// names are those of the resources in messages to people, as the
// configuration has them.
var names = [size]string{"tasks", "cpu", "mem", "accel", "slots"}

// Bound is a team's upper limit.
type Bound struct {
	Most Amount
	Dims Dims // resources that are limited; what Most says of others means nothing
}

// AtMost returns a limit of n tasks that limits nothing else.
func AtMost(n int64) Bound { return Bound{Most: Count(n), Dims: DimsOf(Tasks)} }

// Set limits the resource at place i to n.
func (b *Bound) Set(i int, n int64) {
	b.Most[i] = n
	b.Dims |= DimsOf(i)
}

// Exceeded returns the name of the first resource of which a is more than the
// whole limit, and how much that is; ok is false if there is none.
func (b Bound) Exceeded(a Amount) (name string, limit int64, ok bool) {
	for i, n := range a {
		if b.Dims.Has(i) && n > b.Most[i] {
			return names[i], b.Most[i], true
		}
	}
	return "", 0, false
}

// String returns the limit as a person would write it, like "100 tasks, 8 accel".
func (b Bound) String() string {
	var list []string
	for i, n := range b.Most {
		if b.Dims.Has(i) {
			list = append(list, strconv.FormatInt(n, 10)+" "+names[i])
		}
	}
	return strings.Join(list, ", ")
}
