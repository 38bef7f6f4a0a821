package parts

import (
	"strconv"
	"strings"
)

// resourceNames are the names of the resources in messages, by index. They equal
// the names in the configuration.
var resourceNames = [size]string{"tasks", "cpu", "mem", "accel", "slots"}

// Bound is a team's upper limit.
type Bound struct {
	Most Amount
	Dims Dims // resources that are limited; Most is ignored for all others
}

// AtMost returns a limit of n tasks, without a limit of other resources.
func AtMost(n int64) Bound { return Bound{Most: Count(n), Dims: DimsOf(Tasks)} }

// Set limits the resource with index i to n.
func (b *Bound) Set(i int, n int64) {
	b.Most[i] = n
	b.Dims |= DimsOf(i)
}

// Exceeded returns the name and the limit of the first resource of which a
// exceeds the limit; ok is false if a fits.
func (b Bound) Exceeded(a Amount) (name string, limit int64, ok bool) {
	for i, n := range a {
		if b.Dims.Has(i) && n > b.Most[i] {
			return resourceNames[i], b.Most[i], true
		}
	}
	return "", 0, false
}

// String returns the limit in readable form, such as "100 tasks, 8 accel".
func (b Bound) String() string {
	var list []string
	for i, n := range b.Most {
		if b.Dims.Has(i) {
			list = append(list, strconv.FormatInt(n, 10)+" "+resourceNames[i])
		}
	}
	return strings.Join(list, ", ")
}
