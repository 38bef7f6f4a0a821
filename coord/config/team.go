package config

// Team is a group of callers. Work belongs to a team, and shares and limits
// apply to teams.
type Team struct {
	Name   string `toml:"-"`
	Parent string `toml:"parent,omitempty"` // team that this one is part of
	Note   string `toml:"note,omitempty"`   // free text for operators
}

// Ref implements Object.
func (t *Team) Ref() Ref { return Ref{TypeTeam, t.Name} }

func (t *Team) references() []reference {
	if t.Parent == "" {
		return nil
	}
	return []reference{{"parent", Ref{TypeTeam, t.Parent}}}
}

func (t *Team) check() []problem { return checkNote(t.Note) }
