package roster

import "time"

// update is a gossip message about a member, sent by any member. Of two updates
// with the same epoch and turn, the one with Dead takes precedence, so only the
// member itself can refute it, by raising its turn.
type update struct {
	Member
	Dead   bool          `cbor:"dead,omitempty"`
	Silent time.Duration `cbor:"silent,omitempty"` // with Dead: how long the member has certainly not run
}
