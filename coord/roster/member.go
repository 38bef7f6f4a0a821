package roster

// Member is one process of the roster, as it describes itself.
type Member struct {
	Name    string `cbor:"name"`
	Zone    string `cbor:"zone"`
	Link    string `cbor:"link"`              // address of its link.Node
	Epoch   uint64 `cbor:"epoch"`             // of the process; a higher epoch supersedes a lower one
	Turn    uint64 `cbor:"turn,omitempty"`    // incarnation number, raised by the process to refute that it is dead
	Leaving bool   `cbor:"leaving,omitempty"` // it is shutting down and releases what it owns
}

// before reports whether m describes an earlier state of its process than o.
func (m Member) before(o Member) bool {
	return m.Epoch < o.Epoch || (m.Epoch == o.Epoch && m.Turn < o.Turn)
}
