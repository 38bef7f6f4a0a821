package roster

// Member is one process of the roster; it is also the heartbeat that the
// process sends.
type Member struct {
	Name    string `cbor:"name"`
	Zone    string `cbor:"zone"`
	Link    string `cbor:"link"`              // address of its link.Node
	Epoch   uint64 `cbor:"epoch"`             // of the process; a later one replaces an earlier one
	Leaving bool   `cbor:"leaving,omitempty"` // it is stopping and gives up what it owns
}
