package wire

// Event is one item of the stream that answers a Request. A stream consists of
// any number of events with a Phase, then events with the chunks of the answer,
// then one last event with an Outcome. If the stream breaks before that, the
// outcome is unknown and the receiver knows only the latest phase.
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
