package config

import "strings"

// cycles reports each cycle of teams' parents or of policies' bases once.
func (c *checker) cycles() {
	seen := make(map[Ref]bool)
	for _, ref := range c.set.Refs() {
		cycle := c.cycleFrom(ref, seen)
		if cycle == nil {
			continue
		}
		names := make([]string, len(cycle))
		for i, r := range cycle {
			names[i] = r.Name
		}
		c.add(cycle[0], ancestorField(ref.Type), "goes in a circle: "+strings.Join(append(names, names[0]), " -> ")+"; remove one of these references")
	}
}

// cycleFrom follows the ancestors of ref and returns the cycle that they lead
// to, or nil if there is none or it has been found before.
func (c *checker) cycleFrom(ref Ref, seen map[Ref]bool) []Ref {
	var path []Ref
	index := make(map[Ref]int)
	for at := ref; !seen[at]; {
		if first, ok := index[at]; ok {
			markSeen(path, seen)
			return path[first:]
		}
		index[at] = len(path)
		path = append(path, at)
		next, ok := c.set.ancestor(at)
		if !ok {
			break
		}
		at = next
	}
	markSeen(path, seen)
	return nil
}

func markSeen(path []Ref, seen map[Ref]bool) {
	for _, r := range path {
		seen[r] = true
	}
}

// ancestor returns the parent of a team or the base of a policy.
func (s *Set) ancestor(ref Ref) (Ref, bool) {
	switch o := s.objects[ref].(type) {
	case *Team:
		return Ref{TypeTeam, o.Parent}, o.Parent != ""
	case *Policy:
		return Ref{TypePolicy, o.Base}, o.Base != ""
	default:
		return Ref{}, false
	}
}

func ancestorField(t Type) string {
	if t == TypeTeam {
		return "parent"
	}
	return "base"
}
