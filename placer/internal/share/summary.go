package share

import (
	"cmp"
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// mebibyte is the shift between bytes and mebibytes.
const mebibyte = 20

// MaxTeams is how many teams a Summary names at most: those that use most.
const MaxTeams = 64

// Summary is what one placer's teams use. Package usage tells it
// to the peers.
type Summary struct {
	_        struct{} `cbor:",toarray"`
	Placer   string
	Epoch    uint64 // of the placer's process
	Seq      uint64 // goes up with each summary of the process
	Capacity wire.Needs
	Teams    []Use
}

// Use is what one team uses. A resource vector travels as an array.
type Use struct {
	_     struct{} `cbor:",toarray"`
	Team  string
	CPU   int64
	Mem   int64 // mebibytes
	Accel int64
	Slots int64
	Conns int64
}

// NewUse returns the use of a team.
func NewUse(team string, n wire.Needs) Use {
	return Use{Team: team, CPU: n.CPU, Mem: n.Mem >> mebibyte, Accel: n.Accel, Slots: n.Slots, Conns: n.Conns}
}

// Needs returns the use as a vector.
func (u *Use) Needs() wire.Needs {
	return wire.Needs{CPU: u.CPU, Mem: u.Mem << mebibyte, Accel: u.Accel, Slots: u.Slots, Conns: u.Conns}
}

// Bound leaves only the MaxTeams teams that use most, by processors and
// slots, sorted by name.
func (s *Summary) Bound() {
	if len(s.Teams) > MaxTeams {
		slices.SortFunc(s.Teams, func(a, b Use) int {
			return cmp.Compare(b.CPU+b.Slots, a.CPU+a.Slots)
		})
		s.Teams = s.Teams[:MaxTeams]
	}
	slices.SortFunc(s.Teams, func(a, b Use) int { return cmp.Compare(a.Team, b.Team) })
}

func (s *Summary) newer(old *Summary) bool {
	return s.Epoch > old.Epoch || s.Epoch == old.Epoch && s.Seq > old.Seq
}
