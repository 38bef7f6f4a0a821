package roster

import "time"

// heartbeat is the message that members send each other.
type heartbeat struct {
	Self   Member   `cbor:"self"`
	News   []update `cbor:"news,omitempty"`
	Asked  []string `cbor:"asked,omitempty"`  // members that the sender suspects because they don't answer
	Digest uint64   `cbor:"digest,omitempty"` // hash of the sender's member list; zero requests no comparison
}

// answer is the answer to a heartbeat.
type answer struct {
	Self  Member                   `cbor:"self"`
	News  []update                 `cbor:"news,omitempty"`
	Heard map[string]time.Duration `cbor:"heard,omitempty"` // time since the last heartbeat of each member in Asked
	Whole bool                     `cbor:"whole,omitempty"` // the digests differ, and News is the whole list
}
