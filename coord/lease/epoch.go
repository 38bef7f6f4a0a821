package lease

// tagBits is how many low bits of an epoch tell apart processes that ask for
// the same one.
const tagBits = 16

// Epoch counts the owners of one thing. Two processes never ask for the same
// epoch if their tags differ, even if they go by the same name. The zero Epoch
// has seen none and has tag 0. It is not safe for concurrent use.
type Epoch struct {
	seen uint64
	tag  uint16
}

// NewEpoch returns an Epoch that has seen none.
func NewEpoch(tag uint16) Epoch { return Epoch{tag: tag} }

// Seen returns the highest epoch that was met.
func (e *Epoch) Seen() uint64 { return e.seen }

// Meet takes note of an epoch that was read or refused by.
func (e *Epoch) Meet(n uint64) { e.seen = max(e.seen, n) }

// Next returns the epoch to ask for, which is above all that were met.
func (e *Epoch) Next() uint64 { return (e.seen>>tagBits+1)<<tagBits | uint64(e.tag) }
