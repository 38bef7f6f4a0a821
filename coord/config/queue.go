package config

import (
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	defaultBound = 1000      // requests
	maxBound     = 1_000_000 // requests
)

// Queue accepts requests of some kinds from some teams.
type Queue struct {
	Name   string      `toml:"-"`
	Open   bool        `toml:"open,omitempty"`  // accepts requests without a key
	Teams  []string    `toml:"teams,omitempty"` // teams that may use it; all if empty
	Kinds  []wire.Kind `toml:"kinds,omitempty"` // kinds that it accepts; all if empty
	Policy string      `toml:"policy,omitempty"`
	Bound  int         `toml:"bound,omitempty"` // most requests waiting in it at one host; 1000 if 0
	Note   string      `toml:"note,omitempty"`
}

// Ref implements Object.
func (q *Queue) Ref() Ref { return Ref{TypeQueue, q.Name} }

// Allows reports whether the team may use the queue. The empty team stands
// for callers without a key.
func (q *Queue) Allows(team string) bool {
	if team == "" {
		return q.Open
	}
	return len(q.Teams) == 0 || slices.Contains(q.Teams, team)
}

// Takes reports whether the queue accepts requests of that kind.
func (q *Queue) Takes(k wire.Kind) bool {
	return len(q.Kinds) == 0 || slices.Contains(q.Kinds, k)
}

func (q *Queue) references() []reference {
	links := make([]reference, 0, len(q.Teams)+1)
	for _, t := range q.Teams {
		links = append(links, reference{"teams", Ref{TypeTeam, t}})
	}
	if q.Policy != "" {
		links = append(links, reference{"policy", Ref{TypePolicy, q.Policy}})
	}
	return links
}

func (q *Queue) check() []problem {
	ps := checkNote(q.Note)
	ps = append(ps, checkRange("bound", float64(q.Bound), maxBound)...)
	seen := make(map[string]bool)
	for _, t := range q.Teams {
		if seen[t] {
			ps = append(ps, problem{"teams", quote(t) + " stands there twice; remove one"})
		}
		seen[t] = true
	}
	for i, k := range q.Kinds {
		if !k.Valid() {
			ps = append(ps, problem{"kinds", quote(string(k)) + ` is no kind; write "quick", "service", "batch" or "gang"`})
		}
		if slices.Contains(q.Kinds[:i], k) {
			ps = append(ps, problem{"kinds", quote(string(k)) + " stands there twice; remove one"})
		}
	}
	if q.Open && len(q.Teams) > 0 {
		ps = append(ps, problem{"teams", "an open queue takes requests without a key; remove teams, or remove open"})
	}
	return ps
}
