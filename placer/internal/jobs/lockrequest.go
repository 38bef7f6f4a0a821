package jobs

// lockRequest acquires, renews or releases the gang lock on behalf of one gang.
type lockRequest struct {
	ID      string `cbor:"id"` // of the job
	Release bool   `cbor:"over,omitempty"`
}
