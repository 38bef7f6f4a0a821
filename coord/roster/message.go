package roster

import "time"

// message is a heartbeat.
type message struct {
	Self   Member   `cbor:"self"`
	News   []word   `cbor:"news,omitempty"`
	Asked  []string `cbor:"asked,omitempty"`  // members that don't answer the sender
	Digest uint64   `cbor:"digest,omitempty"` // of the sender's list; zero asks for no comparison
}

// answer answers a heartbeat.
type answer struct {
	Self  Member                   `cbor:"self"`
	News  []word                   `cbor:"news,omitempty"`
	Heard map[string]time.Duration `cbor:"heard,omitempty"` // how long ago members asked about were heard
	Whole bool                     `cbor:"whole,omitempty"` // the digests differ and News has the whole list
}
