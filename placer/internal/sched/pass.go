package sched

import "github.com/balsamford/balsamford/coord/wire"

// maxMisses is how many shapes a pass remembers as not fitting.
const maxMisses = 64

// pass is what one Decide learns as it goes.
type pass struct {
	misses []wire.Needs // needs for which there was no room
}

func (s *pass) reset() { s.misses = s.misses[:0] }

// missed reports whether something no larger than needs found no room.
func (s *pass) missed(needs wire.Needs) bool {
	for _, m := range s.misses {
		if m.Fits(needs) {
			return true
		}
	}
	return false
}

func (s *pass) miss(needs wire.Needs) {
	if len(s.misses) < maxMisses {
		s.misses = append(s.misses, needs)
	}
}
