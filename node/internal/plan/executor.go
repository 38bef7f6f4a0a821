package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// executor holds an executor's registration and the runs that may exist on it.
type executor struct {
	info           model.Executor
	bornIn         int          // last decision before its present life was found out
	lifeKnown      bool         // info.Born is the start of its present life
	unrecorded     bool         // a successor wouldn't know of it
	runsKnown      bool         // it can't have runs that this owner doesn't know; required for new work
	silent         bool         // it doesn't answer
	silentSince    time.Time    // when it was found not to answer
	used           model.Amount // capacity that the runs take
	fillerCPU      int64        // CPU need of fillers, which use idle CPU only
	lastingCPU     int64        // part of used.CPU that lasting tasks take
	reservation    *reservation // for a large task, or nil
	runs           map[runKey]*run
	servingRuns    int       // runs with a latency target
	urgentRuns     int       // runs of urgent work
	failureStreak  int       // failures since the last success; successive ones of one job count once
	lastFailedJob  string    // job of the last failure
	backoffUntil   time.Time // before then it gets no new work
	lastReport     time.Time
	progressedAt   time.Time // when a run on it last made progress or was done
	lastPaceChange time.Time
	changed        bool      // it is in State.changed
	zone           int       // number of its zone
	pooledIn       int       // last decision in which it accepted new work
	kindTime       float64   // how many times longer than on average tasks take on its kind of hardware, during that decision
	ownTime        float64   // how many times longer tasks take on it than on its kind, during that decision
	relativeTime   float64   // the product of both
	smallerCPU     int64     // size of the next smaller executors during that decision, 0 for none
	odd            bool      // it was cold, slow or failing when it was last looked at or reported
	track          track     // what its runs tell of it
	coldSince      time.Time // when its entry first said that it is cold; zero for never in this life
	coldUntil      time.Time // when that has passed
}

// free returns the unused capacity.
func (e *executor) free() model.Amount { return e.info.Room.Sub(e.used) }

// excluded reports whether the executor gets no new work until its state changes: it
// doesn't answer, is draining or isn't registered.
func (e *executor) excluded() bool { return e.silent || e.info.Draining || e.info.Service == "" }

// schedulable reports whether new work may start on an executor.
func (s *State) schedulable(e *executor, now time.Time) bool {
	return s.exclusion(e, now) == NotExcluded
}

// HasUrgentRuns reports whether runs of urgent work may exist on an executor.
func (s *State) HasUrgentRuns(id string) bool {
	e := s.executors[id]
	return e != nil && e.urgentRuns > 0
}

// RunsOn returns the number of runs that may exist on an executor.
func (s *State) RunsOn(id string) int {
	if e := s.executors[id]; e != nil {
		return len(e.runs)
	}
	return 0
}

// SetExecutor adds an executor or updates its registration. The time for which it is cold counts
// from the next decision.
func (s *State) SetExecutor(info model.Executor) {
	e := s.executor(info.ID)
	s.noteCold(e, info.Cold)
	e.lifeKnown = !info.Born.IsZero() && (e.lifeKnown && info.Born.Equal(e.info.Born) || info.Born.After(e.info.Born))
	e.info, e.zone = info, s.zone(info.Zone)
	s.markChanged(e)
}

// SetUnrecorded notes whether the record that shows an executor to a successor isn't stored. The
// executor gets no new work until it is.
func (s *State) SetUnrecorded(id string, unrecorded bool) {
	if e := s.executors[id]; e != nil {
		e.unrecorded = unrecorded
	}
}

// zone returns the number of a zone.
func (s *State) zone(name string) int {
	n, ok := s.zones[name]
	if !ok {
		n = len(s.zones)
		s.zones[name] = n
	}
	return n
}

// markChanged notes that the runs on an executor have changed or that it has reported.
func (s *State) markChanged(e *executor) {
	if !e.changed {
		e.changed = true
		s.changed = append(s.changed, e)
	}
}

// executor returns an executor and creates it if necessary: a recorded run may be on
// one that isn't registered.
func (s *State) executor(id string) *executor {
	e := s.executors[id]
	if e == nil {
		s.longestID = max(s.longestID, len(id))
		e = &executor{info: model.Executor{ID: id}, bornIn: s.decision, zone: s.zone(""), runs: make(map[runKey]*run)}
		s.executors[id] = e
	}
	return e
}

// Silent notes that an executor doesn't answer. It gets no new work until its next
// report; its runs continue to count.
func (s *State) Silent(now time.Time, id string) {
	if e := s.executors[id]; e != nil && !e.silent {
		e.silent, e.silentSince = true, now
		e.noteResult(true, now) // What runs there is held up.
	}
}

// RemoveRuns removes all runs on an executor, since they are gone: its leases have
// ended or it has a new incarnation.
func (s *State) RemoveRuns(id string) {
	e := s.executors[id]
	if e == nil {
		return
	}
	for _, r := range e.runs {
		s.noteWasted(r, WastedLost, e.lastSeen())
		s.removeRun(r)
	}
}

// NewIncarnation notes at now that an executor has begun another life. That is found out some
// time later, so that a run may have started in the new life already, and a start without an
// answer may still reach it. The next report that is requested tells which runs are gone.
func (s *State) NewIncarnation(now time.Time, id string) {
	e := s.executors[id]
	if e == nil {
		return
	}
	for _, r := range e.runs {
		if !r.seen && !r.restored && (r.state == starting || r.state == inDoubt) {
			r.state, r.startedAt = inDoubt, now
			continue
		}
		r.seen, r.confirmedAt = false, now
	}
	e.runsKnown, e.bornIn, e.lifeKnown = false, s.decision, false
	// The entry of this life tells whether it is cold, and it may be of another kind.
	e.coldSince, e.coldUntil, e.track = time.Time{}, time.Time{}, track{}
	e.failureStreak, e.lastFailedJob = 0, ""
}

// RemoveExecutor removes an executor whose runs are all gone.
func (s *State) RemoveExecutor(id string) {
	s.RemoveRuns(id)
	delete(s.executors, id)
}

// MarkRunsKnown notes that an executor can't have runs that this owner doesn't know,
// though it hasn't reported.
func (s *State) MarkRunsKnown(id string) {
	if e := s.executors[id]; e != nil {
		e.runsKnown = true
	}
}

// AllExecutorsListed notes that SetExecutor has been called for all executors that were
// registered at asOf. Those that registered later may be missing.
func (s *State) AllExecutorsListed(asOf time.Time) { s.executorsListed, s.listedAsOf = true, asOf }

// ExecutorsRecorded notes that all executors which may have unrecorded runs are known by a record, whether
// they are registered or not. Nothing waits for registrations then.
func (s *State) ExecutorsRecorded() { s.reregisterUntil = time.Time{} }

// executorsComplete reports whether all executors are known that may have unrecorded runs. The
// list is as old as the last answer of the store: while the store doesn't answer, executors that
// register again stay unknown.
func (s *State) executorsComplete() bool {
	return s.executorsListed && !s.listedAsOf.Before(s.reregisterUntil)
}

// AdvanceSettleDeadline replaces the time given to WithSettleDeadline by until, if
// until is earlier.
func (s *State) AdvanceSettleDeadline(until time.Time) {
	if until.Before(s.settleDeadline) {
		s.settleDeadline = until
	}
}

// ZoneRunsKnown reports whether all runs on the executors of a zone are known: each has
// reported, or was recorded as closed with all its runs.
func (s *State) ZoneRunsKnown(zone string) bool {
	if !s.executorsComplete() {
		return false
	}
	for id, e := range s.executors {
		if e.info.Zone == zone && !e.runsKnown && !s.inheritedClosed[id] {
			return false
		}
	}
	return true
}

// unsettled reports whether executors of service may have unknown runs. All runs are
// recorded on an executor that was closed or isn't registered, since it got no new
// work, and on those of the write-ahead zone.
func (s *State) unsettled(service string, now time.Time) bool {
	if !now.Before(s.settleDeadline) {
		return false
	}
	if !s.executorsComplete() {
		return true
	}
	for id, e := range s.executors {
		if e.runsKnown || s.inheritedClosed[id] || s.writeAheadZone != "" && e.info.Zone == s.writeAheadZone {
			continue
		}
		if e.info.Service == service {
			return true
		}
	}
	return false
}
