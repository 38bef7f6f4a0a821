package wire

import "time"

// Request is one accepted request on its way from an entry to a placer.
type Request struct {
	ID         string        `cbor:"id"`
	Attempt    uint32        `cbor:"attempt"` // counts the entry's sends of this request, from 1
	Team       string        `cbor:"team"`    // empty in an open queue
	Queue      string        `cbor:"queue"`
	Kind       Kind          `cbor:"kind"`
	Name       string        `cbor:"name,omitempty"` // job name, under which needs and run times are learned
	Needs      Needs         `cbor:"needs"`          // of one task
	Tasks      int           `cbor:"tasks"`          // 1 for quick
	Runtime    time.Duration `cbor:"runtime,omitempty"`
	Budget     time.Duration `cbor:"budget,omitempty"` // time until the caller's deadline when sent; 0 means no deadline
	Idempotent bool          `cbor:"idempotent,omitempty"`
	Urgent     bool          `cbor:"urgent,omitempty"`
	Avoid      []string      `cbor:"avoid,omitempty"`   // endpoints on which this request failed
	Version    uint64        `cbor:"version,omitempty"` // configuration version under which it was admitted
	Body       []byte        `cbor:"body,omitempty"`
}
