package lease

// tagBits is the number of low bits of an epoch that hold the process's tag, so
// that processes that observed the same epoch choose different ones.
const tagBits = 16

// Epoch chooses the epochs, or fencing tokens, with which a process claims one
// resource. Processes with different tags never choose the same epoch, even if
// they have the same name. The zero Epoch has observed no epoch and has tag 0.
// It is not safe for concurrent use.
type Epoch struct {
	seen uint64
	tag  uint16
}

// NewEpoch returns an Epoch with the process's tag that has observed no epoch.
func NewEpoch(tag uint16) Epoch { return Epoch{tag: tag} }

// Seen returns the highest epoch passed to Observe, or 0.
func (e *Epoch) Seen() uint64 { return e.seen }

// Observe records an epoch that was read, or that a claim was fenced by.
func (e *Epoch) Observe(n uint64) { e.seen = max(e.seen, n) }

// Next returns the epoch for the next claim. It is above all recorded epochs.
func (e *Epoch) Next() uint64 { return (e.seen>>tagBits+1)<<tagBits | uint64(e.tag) }
