package config

import (
	"strconv"

	"github.com/balsamford/balsamford/coord/parts"
)

// duplicates reports a second share or limit of the same team, and two keys
// with the same digest.
func (c *checker) duplicates() {
	shares, limits := make(map[string]Ref), make(map[string]Ref)
	digests := make(map[Digest]Ref)
	for _, ref := range c.set.Refs() {
		switch o := c.set.objects[ref].(type) {
		case *Share:
			c.onePerTeam(shares, o.Team, ref, "share")
		case *Limit:
			c.onePerTeam(limits, o.Team, ref, "limit")
		case *Key:
			if first, ok := digests[o.Digest]; ok && o.Digest != "" {
				c.add(ref, "digest", "the same as that of "+first.String()+"; make another secret with balsam key")
				continue
			}
			digests[o.Digest] = ref
		}
	}
}

func (c *checker) onePerTeam(seen map[string]Ref, team string, ref Ref, what string) {
	if first, ok := seen[team]; ok {
		c.add(ref, "team", "team "+quote(team)+" has a "+what+" already, "+first.String()+"; remove one")
		return
	}
	seen[team] = ref
}

// limits reports teams whose children's limits don't fit under their own. They
// have to, so that a team's limit is enforced without counting across teams.
func (c *checker) limits() {
	index := indexTeams(c.set)
	for _, ref := range c.set.Refs() {
		team, ok := c.set.objects[ref].(*Team)
		if !ok {
			continue
		}
		limit := index.limits[team.Name]
		if limit == nil || len(index.children[team.Name]) == 0 {
			continue
		}
		for _, m := range resources {
			if most := *m.field(limit); most != nil {
				c.childLimits(index, team, limit, m, *most)
			}
		}
	}
}

// childLimits reports children of a team that have no limit of a resource, and
// children's limits that add up to more than the team's.
func (c *checker) childLimits(x teamIndex, team *Team, limit *Limit, m resource, most int64) {
	sum := int64(0)
	for _, child := range x.children[team.Name] {
		l := x.limits[child]
		if l == nil || *m.field(l) == nil {
			c.add(Ref{TypeTeam, child}, "parent", "team "+quote(team.Name)+" has a limit and this one has none; add a limit of at most "+strconv.FormatInt(most, 10)+" "+m.unit)
			continue
		}
		sum += **m.field(l)
	}
	if sum > most {
		c.add(limit.Ref(), m.name, "the limits of the teams in "+quote(team.Name)+" add up to "+strconv.FormatInt(sum, 10)+"; raise this one to that, or lower theirs")
	}
}

// shares reports teams that have a share but a limit that lets them run
// nothing.
func (c *checker) shares() {
	index := indexTeams(c.set)
	for _, ref := range c.set.Refs() {
		share, ok := c.set.objects[ref].(*Share)
		if !ok {
			continue
		}
		if l := index.limits[share.Team]; l != nil && l.blocksAll() {
			c.add(ref, "team", "team "+quote(share.Team)+" has a share, and "+l.Ref().String()+" lets it run nothing; remove the share or raise the limit")
		}
	}
}

// capacity warns of limits above what the cell can run at once.
func (c *checker) capacity() {
	room, known := c.set.capacity()
	if !known {
		return
	}
	for _, ref := range c.set.Refs() {
		l, ok := c.set.objects[ref].(*Limit)
		if !ok {
			continue
		}
		for _, m := range resources {
			if v := *m.field(l); v != nil && *v > room[m.index] {
				c.warn(ref, m.name, "above the "+strconv.FormatInt(room[m.index], 10)+" "+m.unit+" that the cell's endpoints can run at once, so it never takes effect")
			}
		}
	}
}

// capacity returns the total capacity of the cell's endpoints. Its number of
// tasks is that of the smallest ones: one per slot of an executor, or one per
// thousandth of a processor of a worker. known is false if the set describes no
// endpoints.
func (s *Set) capacity() (room parts.Amount, known bool) {
	for _, o := range s.objects {
		e, ok := o.(*Endpoint)
		if !ok {
			continue
		}
		known = true
		per := e.Needs.Slots
		if per == 0 {
			per = e.Needs.CPU
		}
		for i, n := range (parts.Amount{parts.Tasks: per, parts.CPU: e.Needs.CPU, parts.Mem: e.Needs.Mem, parts.Accel: e.Needs.Accel, parts.Slots: e.Needs.Slots}) {
			room[i] += n * e.Count
		}
	}
	return room, known
}
