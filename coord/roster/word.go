package roster

import "time"

// word is what one member says of another, or of itself. Of two words about
// the same epoch and turn the one that says dead counts, so only the member
// itself can refute it, with a higher turn.
type word struct {
	Member
	Dead   bool          `cbor:"dead,omitempty"`
	Silent time.Duration `cbor:"silent,omitempty"` // with Dead: how long nothing was heard of it
}
