package plan

import (
	"maps"
	"slices"
	"time"
)

// An executor that is excluded from new work is recorded as closed. A successor that
// can't reach it then knows that all runs on it are recorded. So an executor may get
// new work again only once the stored record doesn't name it any more. A successor waits for the
// leases of those that aren't named, so that any may be left out.

// Closed returns the executors that are excluded from new work, except silent ones of returning
// zones, and whether the stored record differs or, after a write without an answer, may differ. unverified lists those that may have
// unrecorded runs: they haven't reported to this owner, and an earlier owner may have
// started runs there that it couldn't record. Both lists are sorted.
func (s *State) Closed() (closed, unverified []string, differs bool) {
	for id, e := range s.executors {
		if !e.excluded() || s.mayReturn(e) {
			continue
		}
		closed = append(closed, id)
		if !e.runsKnown && !s.inheritedClosed[id] {
			unverified = append(unverified, id)
		}
	}
	slices.Sort(closed)
	slices.Sort(unverified)
	differs = s.closedInDoubt || !slices.Equal(closed, s.recordedClosed) || !slices.Equal(unverified, s.recordedUnverified)
	return closed, unverified, differs
}

// RecordingClosed notes that a record that names ids is about to be written. Since
// the write may succeed without an answer, the stored record may name them from now
// on, until ClosedRecorded is called for a later one.
func (s *State) RecordingClosed(ids []string) {
	s.closedInDoubt = true
	for _, id := range ids {
		s.maybeClosed[id] = true
	}
}

// ClosedRecorded notes that the stored record names ids as closed, unverified among
// them, and no others.
func (s *State) ClosedRecorded(ids, unverified []string) {
	s.recordedClosed, s.recordedUnverified, s.closedInDoubt = ids, unverified, false
	s.maybeClosed = make(map[string]bool, len(ids))
	for _, id := range ids {
		s.maybeClosed[id] = true
	}
}

// RestoreClosed applies the record of an earlier owner. For some of the executors,
// leaseEnds has the time after which nothing can run there any more.
func (s *State) RestoreClosed(ids, unverified []string, leaseEnds map[string]time.Time) {
	s.ClosedRecorded(ids, unverified)
	s.inheritedClosed = maps.Clone(s.maybeClosed)
	for _, id := range unverified {
		delete(s.inheritedClosed, id)
	}
	s.leaseEnds = maps.Clone(leaseEnds)
}

// leaseEnd returns the time after which nothing can run on an executor that doesn't
// answer.
func (s *State) leaseEnd(id string) time.Time {
	if at, ok := s.leaseEnds[id]; ok {
		return at
	}
	return s.settleDeadline
}
