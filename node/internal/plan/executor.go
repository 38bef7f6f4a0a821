package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// executor is an executor with what may be present on it.
type executor struct {
	info           model.Executor
	runsKnown      bool // it has reported to this owner
	silent         bool // it doesn't answer
	used           model.Amount
	fillerCPU      int64 // CPU need of fillers
	runs           map[runKey]*run
	servingRuns    int       // runs with a latency target
	urgentRuns     int       // runs of urgent work
	failureStreak  int       // runs of different jobs that failed since the last that was done
	lastFailedJob  string    // job of the last fault
	backoffUntil   time.Time // until when it gets no new work
	lastReport     time.Time // last report
	lastPaceChange time.Time // last change of pace
}

// free returns the room that is left.
func (e *executor) free() model.Amount { return e.info.Room.Sub(e.used) }

// acceptsWork reports whether new work may start on it, if no record names it as
// closed.
func (e *executor) acceptsWork(now time.Time) bool {
	return e.runsKnown && !e.excluded() && !now.Before(e.backoffUntil)
}

// excluded reports whether it is to get no new work until that changes: it may have no
// entry, too.
func (e *executor) excluded() bool { return e.silent || e.info.Draining || e.info.Service == "" }

// schedulable reports whether new work may start on an executor.
func (s *State) schedulable(e *executor, now time.Time) bool {
	return e.acceptsWork(now) && !s.maybeClosed[e.info.ID]
}

// Urgent reports whether urgent work runs on an executor.
func (s *State) Urgent(id string) bool {
	e := s.executors[id]
	return e != nil && e.urgentRuns > 0
}

// SetExecutor takes an executor's entry into the plan or renews it.
func (s *State) SetExecutor(info model.Executor) {
	s.executor(info.ID).info = info
}

// executor returns an executor, which is made when needed: a recorded run may name
// one that has no entry.
func (s *State) executor(id string) *executor {
	e := s.executors[id]
	if e == nil {
		e = &executor{info: model.Executor{ID: id}, runs: make(map[runKey]*run)}
		s.executors[id] = e
	}
	return e
}

// Silent notes that an executor doesn't answer: it gets no new work until its
// next report. What runs there counts on.
func (s *State) Silent(id string) {
	if e := s.executors[id]; e != nil {
		e.silent = true
	}
}

// Lapsed notes that nothing runs on an executor any more: its leases have ended
// or it has a new incarnation.
func (s *State) Lapsed(id string) {
	e := s.executors[id]
	if e == nil {
		return
	}
	for _, r := range e.runs {
		s.removeRun(r)
	}
}

// RemoveExecutor forgets an executor on which nothing runs any more.
func (s *State) RemoveExecutor(id string) {
	s.Lapsed(id)
	delete(s.executors, id)
}

// Settled notes that an executor that hasn't reported can't run anything that
// isn't known.
func (s *State) Settled(id string) {
	if e := s.executors[id]; e != nil {
		e.runsKnown = true
	}
}

// Complete notes that all executors that have an entry are known.
func (s *State) Complete() { s.executorsListed = true }

// Settle brings the time of WithSettle forward.
func (s *State) Settle(until time.Time) {
	if until.Before(s.settleDeadline) {
		s.settleDeadline = until
	}
}

// Known reports whether all executors of a zone have reported, or had been closed and
// run what is recorded.
func (s *State) Known(zone string) bool {
	if !s.executorsListed {
		return false
	}
	for id, e := range s.executors {
		if e.info.Zone == zone && !e.runsKnown && !s.inheritedClosed[id] {
			return false
		}
	}
	return true
}

// unsettled reports whether an executor of service may run what isn't known. One
// that was closed, or that lacks an entry, got no new work of late, so that all its
// runs are recorded.
func (s *State) unsettled(service string, now time.Time) bool {
	if !now.Before(s.settleDeadline) {
		return false
	}
	if !s.executorsListed {
		return true
	}
	for id, e := range s.executors {
		if e.runsKnown || s.inheritedClosed[id] || s.writeAheadZone != "" && e.info.Zone == s.writeAheadZone {
			continue
		}
		if e.info.Service == service || e.info.Service == "" && now.Before(s.reregisterUntil) {
			return true
		}
	}
	return false
}
