package plan

import (
	"maps"
	"slices"
	"time"
)

// An executor that gets no new work is recorded as closed: a successor that can't
// reach it knows then that it runs nothing but what is recorded. So an executor is
// used again only once the record no longer names it.

// Closed returns the executors that get no new work, in order, those of them that may
// run what isn't recorded, and whether that differs from what was recorded last. The
// latter haven't reported to this owner, and an earlier one may have started runs there
// that it couldn't record any more.
func (s *State) Closed() (closed, unsure []string, differs bool) {
	for id, e := range s.executors {
		if !e.excluded() {
			continue
		}
		closed = append(closed, id)
		if !e.runsKnown && !s.inheritedClosed[id] {
			unsure = append(unsure, id)
		}
	}
	slices.Sort(closed)
	slices.Sort(unsure)
	return closed, unsure, !slices.Equal(closed, s.recordedClosed) || !slices.Equal(unsure, s.recordedUnverified)
}

// Closing notes that ids are about to be recorded: the record may name them from now
// on.
func (s *State) Closing(ids []string) {
	for _, id := range ids {
		s.maybeClosed[id] = true
	}
}

// ClosedRecorded notes that the record names ids and no others, and unsure among them.
func (s *State) ClosedRecorded(ids, unsure []string) {
	s.recordedClosed, s.recordedUnverified = ids, unsure
	s.maybeClosed = make(map[string]bool, len(ids))
	s.Closing(ids)
}

// RestoreClosed takes over what an earlier owner recorded; by says of some executors
// when nothing can run there any more.
func (s *State) RestoreClosed(ids, unsure []string, by map[string]time.Time) {
	s.ClosedRecorded(ids, unsure)
	s.inheritedClosed = maps.Clone(s.maybeClosed)
	for _, id := range unsure {
		delete(s.inheritedClosed, id)
	}
	s.leaseEnds = maps.Clone(by)
}

// leaseEnd returns when nothing can run on an executor any more that doesn't answer.
func (s *State) leaseEnd(id string) time.Time {
	if at, ok := s.leaseEnds[id]; ok {
		return at
	}
	return s.settleDeadline
}
