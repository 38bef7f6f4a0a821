package parts

// Dims is a set of resources, one bit for each place of an Amount.
type Dims uint8

// DimsOf returns the set of the resources named.
func DimsOf(places ...int) Dims {
	var d Dims
	for _, i := range places {
		d |= 1 << i
	}
	return d
}

// allDims are all resources.
const allDims Dims = 1<<size - 1

// Has reports whether the resource at place i of an Amount is in the set.
func (d Dims) Has(i int) bool { return d&(1<<i) != 0 }

// only returns a with 0 for each resource outside of the set.
func (d Dims) only(a Amount) Amount {
	for i := range a {
		if !d.Has(i) {
			a[i] = 0
		}
	}
	return a
}
