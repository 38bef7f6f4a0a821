package load

import (
	"sort"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/rules"
)

// team is a team with its caller's key and its share weight.
type team struct {
	name   string
	key    string
	secret string
	weight float64
}

// teamsOf returns an element for each caller's key of set, sorted by key name.
// Operators' keys are left out.
func teamsOf(set *config.Set) []team {
	teams := make([]team, 0)
	for _, ref := range set.Refs() {
		k, ok := set.Object(ref).(*config.Key)
		if !ok || k.Operator() {
			continue
		}
		weight := 1.0
		if s, ok := set.Object(config.Ref{Type: config.TypeShare, Name: k.Team}).(*config.Share); ok {
			weight = s.Weight
		}
		teams = append(teams, team{name: k.Team, key: k.Name, secret: rules.Secret(k.Name), weight: weight})
	}
	sort.Slice(teams, func(i, j int) bool { return teams[i].key < teams[j].key })
	return teams
}

// queuesOf returns one queue that needs a key for each request kind, and the
// open queue, which is empty if there is none.
func queuesOf(set *config.Set) (byKind map[wire.Kind]string, open string) {
	byKind = make(map[wire.Kind]string)
	for _, ref := range set.Refs() {
		q, ok := set.Object(ref).(*config.Queue)
		if !ok {
			continue
		}
		if q.Open {
			open = q.Name
			continue
		}
		for _, k := range q.Kinds {
			byKind[k] = q.Name
		}
	}
	return byKind, open
}
