package share

import (
	"cmp"
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// mebibyteShift converts between bytes and mebibytes.
const mebibyteShift = 20

// MaxTeams is the maximum number of teams in a Summary. If there are more, it
// has those with the highest usage.
const MaxTeams = 64

// Summary is the resource usage of all teams at one placer. Package usage sends
// it to the peers.
type Summary struct {
	_        struct{} `cbor:",toarray"`
	Placer   string
	Epoch    uint64 // of the placer's process
	Seq      uint64 // increases with each summary of the process
	Capacity wire.Needs
	Teams    []TeamUsage
}

// TeamUsage is the resource usage of one team. It is encoded as an array, as is a
// Summary.
type TeamUsage struct {
	_     struct{} `cbor:",toarray"`
	Team  string
	CPU   int64
	Mem   int64 // mebibytes
	Accel int64
	Slots int64
	Conns int64
}

// NewTeamUsage returns a TeamUsage with memory rounded down to whole mebibytes.
func NewTeamUsage(team string, n wire.Needs) TeamUsage {
	return TeamUsage{Team: team, CPU: n.CPU, Mem: n.Mem >> mebibyteShift, Accel: n.Accel, Slots: n.Slots, Conns: n.Conns}
}

// Needs returns the usage with memory in bytes.
func (u *TeamUsage) Needs() wire.Needs {
	return wire.Needs{CPU: u.CPU, Mem: u.Mem << mebibyteShift, Accel: u.Accel, Slots: u.Slots, Conns: u.Conns}
}

// Truncate keeps only the MaxTeams teams with the highest sum of CPU and slots, and
// sorts the teams by name.
func (s *Summary) Truncate() {
	if len(s.Teams) > MaxTeams {
		slices.SortFunc(s.Teams, func(a, b TeamUsage) int {
			return cmp.Compare(b.CPU+b.Slots, a.CPU+a.Slots)
		})
		s.Teams = s.Teams[:MaxTeams]
	}
	slices.SortFunc(s.Teams, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
}

func (s *Summary) newer(old *Summary) bool {
	return s.Epoch > old.Epoch || s.Epoch == old.Epoch && s.Seq > old.Seq
}
