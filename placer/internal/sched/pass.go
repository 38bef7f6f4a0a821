package sched

import "github.com/balsamford/balsamford/coord/wire"

// maxMisses is how many shapes a pass remembers as not fitting.
const maxMisses = 64

// pass is what one Decide learns as it goes.
type pass struct {
	misses    []miss
	shortages []shortage // the first task that needs accelerators, and the first other one
}

// miss is a shape for which there was no room.
type miss struct {
	needs  wire.Needs
	urgent bool
}

func (s *pass) reset() { s.misses, s.shortages = s.misses[:0], s.shortages[:0] }

// missed reports whether something no larger than needs found no room. What
// urgent work couldn't get, other work can't either.
func (s *pass) missed(needs wire.Needs, urgent bool) bool {
	for i := range s.misses {
		if m := &s.misses[i]; (m.urgent || !urgent) && m.needs.Fits(needs) {
			return true
		}
	}
	return false
}

func (s *pass) miss(needs wire.Needs, urgent bool) {
	if len(s.misses) < maxMisses {
		s.misses = append(s.misses, miss{needs, urgent})
	}
}
