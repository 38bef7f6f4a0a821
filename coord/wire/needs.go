package wire

// Needs is a vector of resources: what one task requests, what an endpoint has,
// or what is in use.
type Needs struct {
	CPU   int64 `cbor:"cpu,omitempty" json:"cpu,omitempty" toml:"cpu"`       // thousandths of a processor
	Mem   int64 `cbor:"mem,omitempty" json:"mem,omitempty" toml:"mem"`       // bytes
	Accel int64 `cbor:"accel,omitempty" json:"accel,omitempty" toml:"accel"` // accelerators
	Slots int64 `cbor:"slots,omitempty" json:"slots,omitempty" toml:"slots"` // executor slots
	Conns int64 `cbor:"conns,omitempty" json:"conns,omitempty" toml:"conns"` // connections
}

// Add returns n + m.
func (n Needs) Add(m Needs) Needs {
	return Needs{n.CPU + m.CPU, n.Mem + m.Mem, n.Accel + m.Accel, n.Slots + m.Slots, n.Conns + m.Conns}
}

// Sub returns n - m. The result can be negative.
func (n Needs) Sub(m Needs) Needs {
	return Needs{n.CPU - m.CPU, n.Mem - m.Mem, n.Accel - m.Accel, n.Slots - m.Slots, n.Conns - m.Conns}
}

// Scale returns n multiplied by k.
func (n Needs) Scale(k int64) Needs {
	return Needs{n.CPU * k, n.Mem * k, n.Accel * k, n.Slots * k, n.Conns * k}
}

// Max returns the larger of n and m in each resource.
func (n Needs) Max(m Needs) Needs {
	return Needs{max(n.CPU, m.CPU), max(n.Mem, m.Mem), max(n.Accel, m.Accel), max(n.Slots, m.Slots), max(n.Conns, m.Conns)}
}

// Fits reports whether n is at most room in each resource.
func (n Needs) Fits(room Needs) bool {
	return n.CPU <= room.CPU && n.Mem <= room.Mem && n.Accel <= room.Accel && n.Slots <= room.Slots && n.Conns <= room.Conns
}

// Negative reports whether any resource is below zero.
func (n Needs) Negative() bool {
	return n.CPU < 0 || n.Mem < 0 || n.Accel < 0 || n.Slots < 0 || n.Conns < 0
}

// IsZero reports whether n is zero in each resource.
func (n Needs) IsZero() bool { return n == Needs{} }
