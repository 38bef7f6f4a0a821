package jobs

// ask asks for the turn to book room for a gang, or gives it back.
type ask struct {
	ID   string `cbor:"id"`
	Over bool   `cbor:"over,omitempty"`
}
