package parts

import "github.com/fxamacker/cbor/v2"

// The resources that a limit counts, as places in an Amount.
const (
	Tasks = iota
	CPU   // thousandths of a processor
	Mem   // bytes
	Accel // accelerators
	Slots // executor slots
	size
)

// Amount is how much of each resource is meant.
type Amount [size]int64

// Count returns an Amount of n tasks that take nothing else.
func Count(n int64) Amount { return Amount{Tasks: n} }

// Any reports whether the amount of any resource is above 0.
func (a Amount) Any() bool {
	for _, n := range a {
		if n > 0 {
			return true
		}
	}
	return false
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	for i, n := range b {
		a[i] += n
	}
	return a
}

// Sub returns a - b. The result can be negative.
func (a Amount) Sub(b Amount) Amount {
	for i, n := range b {
		a[i] -= n
	}
	return a
}

// Over returns the part of a resource that is in so many of it, rounded down.
func (a Amount) Over(n int64) Amount {
	for i := range a {
		a[i] /= n
	}
	return a
}

// most returns the larger of a and b in each resource.
func (a Amount) most(b Amount) Amount {
	for i, n := range b {
		a[i] = max(a[i], n)
	}
	return a
}

// least returns the smaller of a and b in each resource.
func (a Amount) least(b Amount) Amount {
	for i, n := range b {
		a[i] = min(a[i], n)
	}
	return a
}

// MarshalCBOR implements cbor.Marshaler. An amount of tasks alone is one
// number; any other is a list that ends at the last resource that isn't 0.
func (a Amount) MarshalCBOR() ([]byte, error) {
	n := size
	for n > 0 && a[n-1] == 0 {
		n--
	}
	if n <= 1 {
		return cbor.Marshal(a[Tasks])
	}
	return cbor.Marshal(a[:n])
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (a *Amount) UnmarshalCBOR(data []byte) error {
	*a = Amount{}
	if err := cbor.Unmarshal(data, &a[Tasks]); err == nil {
		return nil
	}
	var list []int64
	err := cbor.Unmarshal(data, &list)
	copy(a[:], list)
	return err
}
