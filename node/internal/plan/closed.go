package plan

import (
	"maps"
	"slices"
	"time"
)

// An executor that gets no new work is recorded as closed: a successor that can't
// reach it knows then that it runs nothing but what is recorded. So an executor is
// used again only once the record no longer names it.

// Closed returns the executors that get no new work, in order, and whether that
// differs from what was recorded last.
func (s *State) Closed() ([]string, bool) {
	var out []string
	for id, w := range s.execs {
		if w.shut() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out, !slices.Equal(out, s.closed)
}

// Closing notes that ids are about to be recorded: the record may name them from now
// on.
func (s *State) Closing(ids []string) {
	for _, id := range ids {
		s.barred[id] = true
	}
}

// ClosedRecorded notes that the record names ids and no others.
func (s *State) ClosedRecorded(ids []string) {
	s.closed = ids
	s.barred = make(map[string]bool, len(ids))
	s.Closing(ids)
}

// RestoreClosed takes over what an earlier owner recorded; by says of some executors
// when nothing can run there any more.
func (s *State) RestoreClosed(ids []string, by map[string]time.Time) {
	s.ClosedRecorded(ids)
	s.closedBefore = maps.Clone(s.barred)
	s.lapses = maps.Clone(by)
}

// lapse returns when nothing can run on an executor any more that doesn't answer.
func (s *State) lapse(id string) time.Time {
	if at, ok := s.lapses[id]; ok {
		return at
	}
	return s.settle
}
