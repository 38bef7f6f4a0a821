package sched

import "github.com/balsamford/balsamford/coord/wire"

// maxUnplaceable is the maximum number of shapes that a pass remembers as
// unplaceable.
const maxUnplaceable = 64

// pass is the state of one scheduling pass.
type pass struct {
	unplaceable []shape
	shortages   []shortage // at most two: the first with accelerators and the first without
}

// shape is what decides whether a task fits: its resources and its urgency.
type shape struct {
	needs  wire.Needs
	urgent bool
}

func (s *pass) reset() { s.unplaceable, s.shortages = s.unplaceable[:0], s.shortages[:0] }

// isUnplaceable reports whether a task no larger than needs found no room
// earlier in the pass. Room that urgent work couldn't get isn't available to
// other work either.
func (s *pass) isUnplaceable(needs wire.Needs, urgent bool) bool {
	for i := range s.unplaceable {
		if m := &s.unplaceable[i]; (m.urgent || !urgent) && m.needs.Fits(needs) {
			return true
		}
	}
	return false
}

func (s *pass) addUnplaceable(needs wire.Needs, urgent bool) {
	if len(s.unplaceable) < maxUnplaceable {
		s.unplaceable = append(s.unplaceable, shape{needs, urgent})
	}
}
