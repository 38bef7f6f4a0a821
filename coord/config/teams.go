package config

import "slices"

// teamIndex finds what belongs to a team.
type teamIndex struct {
	children map[string][]string
	limits   map[string]*Limit
	shares   map[string]*Share
}

func indexTeams(s *Set) teamIndex {
	x := teamIndex{
		children: make(map[string][]string),
		limits:   make(map[string]*Limit),
		shares:   make(map[string]*Share),
	}
	for _, o := range s.objects {
		switch o := o.(type) {
		case *Team:
			if o.Parent != "" {
				x.children[o.Parent] = append(x.children[o.Parent], o.Name)
			}
		case *Limit:
			x.limits[o.Team] = o
		case *Share:
			x.shares[o.Team] = o
		}
	}
	for _, names := range x.children {
		slices.Sort(names)
	}
	return x
}

// own returns what is left of a team's limit for its own tasks once its
// children's limits are taken off.
func (x teamIndex) ownLimit(team string) (own Limit, ok bool) {
	l := x.limits[team]
	if l == nil {
		return Limit{}, false
	}
	own = Limit{Team: team}
	for _, m := range resources {
		if most := *m.field(l); most != nil {
			*m.field(&own) = new(max(*most-x.childrenLimit(team, m), 0))
		}
	}
	return own, true
}

// below returns the sum of the limits of a team's children.
func (x teamIndex) childrenLimit(team string, m resource) int64 {
	sum := int64(0)
	for _, child := range x.children[team] {
		if c := x.limits[child]; c != nil && *m.field(c) != nil {
			sum += **m.field(c)
		}
	}
	return sum
}

// raw returns the weight of a team's own share.
func (x teamIndex) shareWeight(team string) float64 {
	if s := x.shares[team]; s != nil {
		return s.Weight
	}
	return defaultWeight
}

// split returns the weights of the teams at and below team, given that of all
// of them together. A team takes part in its own division with weight 1.
func (x teamIndex) addWeights(team string, weight float64, out map[string]float64) {
	sum := defaultWeight
	for _, child := range x.children[team] {
		sum += x.shareWeight(child)
	}
	out[team] = weight * defaultWeight / sum
	for _, child := range x.children[team] {
		x.addWeights(child, weight*x.shareWeight(child)/sum, out)
	}
}
