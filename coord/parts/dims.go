package parts

// Dims is a set of resources. Bit i stands for the resource with index i of an
// Amount.
type Dims uint8

// DimsOf returns the set of the resources with the given indices.
func DimsOf(indices ...int) Dims {
	var d Dims
	for _, i := range indices {
		d |= 1 << i
	}
	return d
}

// allDims is the set of all resources.
const allDims Dims = 1<<size - 1

// Has reports whether the resource with index i is in the set.
func (d Dims) Has(i int) bool { return d&(1<<i) != 0 }

// only returns a with every resource outside the set zeroed.
func (d Dims) only(a Amount) Amount {
	for i := range a {
		if !d.Has(i) {
			a[i] = 0
		}
	}
	return a
}
