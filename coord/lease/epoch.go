package lease

// Epoch counts the owners of one thing. The zero Epoch has seen none.
type Epoch struct{ seen uint64 }

// Seen returns the highest epoch that was met.
func (e *Epoch) Seen() uint64 { return e.seen }

// Meet takes note of an epoch that was read or refused by.
func (e *Epoch) Meet(n uint64) { e.seen = max(e.seen, n) }

// Next returns the epoch to ask for, which is above all that were met.
func (e *Epoch) Next() uint64 { return e.seen + 1 }
