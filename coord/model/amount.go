package model

// Amount is a vector of resources: what a task needs or what an executor has.
type Amount struct {
	CPU    int64 `cbor:"1,keyasint,omitempty"` // thousandths of a core
	Memory int64 `cbor:"2,keyasint,omitempty"` // MB
	Accel  int64 `cbor:"3,keyasint,omitempty"` // accelerators
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{CPU: a.CPU + b.CPU, Memory: a.Memory + b.Memory, Accel: a.Accel + b.Accel}
}

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{CPU: a.CPU - b.CPU, Memory: a.Memory - b.Memory, Accel: a.Accel - b.Accel}
}

// Fits reports whether a is at most b in each resource.
func (a Amount) Fits(b Amount) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accel <= b.Accel
}
