package config

const (
	defaultWeight = 1.0
	maxWeight     = 1000.0
)

// Share sets a team's weight in dividing the capacity among teams when the cell
// is full.
type Share struct {
	Name   string  `toml:"-"`
	Team   string  `toml:"team"`
	Weight float64 `toml:"weight"` // 1 for a team without a share
	Note   string  `toml:"note,omitempty"`
}

// Ref implements Object.
func (s *Share) Ref() Ref { return Ref{TypeShare, s.Name} }

func (s *Share) references() []reference { return []reference{{"team", Ref{TypeTeam, s.Team}}} }

func (s *Share) check() []problem {
	ps := checkNote(s.Note)
	if !(s.Weight > 0 && s.Weight <= maxWeight) {
		ps = append(ps, problem{"weight", `write a number above 0 and at most 1000, like "weight = 2.0"`})
	}
	return ps
}
