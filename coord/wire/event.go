package wire

// Event is one item of the stream that answers a Request. A stream has any
// number of phase events, then the chunks of the answer, then one event with
// an Outcome, which ends it. Whoever reads a stream that breaks off before
// the outcome knows only the last phase.
type Event struct {
	ID       string  `cbor:"id"`
	Attempt  uint32  `cbor:"attempt"`
	Phase    Phase   `cbor:"phase,omitempty"`
	Endpoint string  `cbor:"endpoint,omitempty"`
	Epoch    uint64  `cbor:"epoch,omitempty"` // of the endpoint's owner
	Chunk    []byte  `cbor:"chunk,omitempty"`
	Outcome  Outcome `cbor:"outcome,omitempty"`
	Reason   string  `cbor:"reason,omitempty"` // a code from docs/API.md
	Detail   string  `cbor:"detail,omitempty"`
	Size     int64   `cbor:"size,omitempty"` // with Done: bytes of the whole answer
	Sum      uint64  `cbor:"sum,omitempty"`  // with Done: xxhash64 of the whole answer
	Code     int     `cbor:"code,omitempty"` // exit code of a task
}
