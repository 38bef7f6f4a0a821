package model

// Amount is a quantity of each resource that an executor has or a task needs.
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

// Times returns n times a.
func (a Amount) Times(n int) Amount {
	return Amount{CPU: a.CPU * int64(n), Memory: a.Memory * int64(n), Accel: a.Accel * int64(n)}
}

// Fits reports whether a is within b in each resource.
func (a Amount) Fits(b Amount) bool {
	return a.CPU <= b.CPU && a.Memory <= b.Memory && a.Accel <= b.Accel
}

// Within reports whether a is within limit, where a limit of 0 is none.
func (a Amount) Within(limit Amount) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) && (limit.Memory == 0 || a.Memory <= limit.Memory) &&
		(limit.Accel == 0 || a.Accel <= limit.Accel)
}
