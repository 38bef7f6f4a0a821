package jobs

// lockRequest asks for the turn to book room for a gang, or gives it back.
type lockRequest struct {
	ID      string `cbor:"id"`
	Release bool   `cbor:"over,omitempty"`
}
