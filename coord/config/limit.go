package config

const maxTasks = 10_000_000

// Limit is the most that a team may have running across the fleet.
type Limit struct {
	Name  string `toml:"-"`
	Team  string `toml:"team"`
	Tasks int64  `toml:"tasks"` // running tasks; 0 lets nothing run
	Note  string `toml:"note,omitempty"`
}

// Ref implements Object.
func (l *Limit) Ref() Ref { return Ref{TypeLimit, l.Name} }

func (l *Limit) links() []refers { return []refers{{"team", Ref{TypeTeam, l.Team}}} }

func (l *Limit) check() []problem {
	return append(checkNote(l.Note), checkRange("tasks", float64(l.Tasks), maxTasks)...)
}
