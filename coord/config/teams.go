package config

import "slices"

// teamIndex looks up the children, the limit and the share of a team by its
// name.
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

// ownLimit returns a team's limit less the limits of its children: what remains
// for its own tasks.
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

// childrenLimit returns the sum of the children's limits of one resource.
func (x teamIndex) childrenLimit(team string, m resource) int64 {
	sum := int64(0)
	for _, child := range x.children[team] {
		if c := x.limits[child]; c != nil && *m.field(c) != nil {
			sum += **m.field(c)
		}
	}
	return sum
}

// shareWeight returns the weight of a team's own share.
func (x teamIndex) shareWeight(team string) float64 {
	if s := x.shares[team]; s != nil {
		return s.Weight
	}
	return defaultWeight
}

// addWeights divides the weight of a subtree among team and its descendants,
// and adds the results to out. In the division among its children a team itself
// takes part with weight 1.
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
