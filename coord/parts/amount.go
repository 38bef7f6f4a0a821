package parts

import "github.com/fxamacker/cbor/v2"

// The resources that can be limited, as indices of an Amount.
const (
	Tasks = iota // number of tasks
	CPU          // thousandths of a processor
	Mem          // bytes
	Accel        // accelerators
	Slots        // executor slots
	size
)

// Amount is a vector of resources, indexed by Tasks, CPU, Mem, Accel and Slots.
type Amount [size]int64

// Count returns an Amount of n tasks and nothing else.
func Count(n int64) Amount { return Amount{Tasks: n} }

// Any reports whether the amount of at least one resource is above 0.
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

// Div returns a divided by n, rounded towards zero in each resource.
func (a Amount) Div(n int64) Amount {
	for i := range a {
		a[i] /= n
	}
	return a
}

// max returns the larger of a and b in each resource.
func (a Amount) max(b Amount) Amount {
	for i, n := range b {
		a[i] = max(a[i], n)
	}
	return a
}

// min returns the smaller of a and b in each resource.
func (a Amount) min(b Amount) Amount {
	for i, n := range b {
		a[i] = min(a[i], n)
	}
	return a
}

// MarshalCBOR implements cbor.Marshaler. An amount of tasks only is encoded as
// one number, any other as a list up to the last resource that isn't 0.
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

// UnmarshalCBOR implements cbor.Unmarshaler. It ignores list elements beyond the
// known resources.
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
