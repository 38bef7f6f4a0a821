package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// worker is an executor with what may be present on it.
type worker struct {
	info     model.Executor
	known    bool // it has reported to this owner
	silent   bool // it doesn't answer
	used     model.Amount
	fill     int64 // CPU need of fillers
	runs     map[runKey]*run
	serving  int       // runs with a latency target
	urgent   int       // runs of urgent work
	faults   int       // runs of different jobs that failed since the last that was done
	suspect  string    // job of the last fault
	shunned  time.Time // until when it gets no new work
	reported time.Time // last report
	paced    time.Time // last change of pace
}

// free returns the room that is left.
func (w *worker) free() model.Amount { return w.info.Room.Sub(w.used) }

// usable reports whether new work may start on it, if no record names it as
// closed.
func (w *worker) usable(now time.Time) bool {
	return w.known && !w.shut() && !now.Before(w.shunned)
}

// shut reports whether it is to get no new work until that changes: it may have no
// entry, too.
func (w *worker) shut() bool { return w.silent || w.info.Draining || w.info.Service == "" }

// open reports whether new work may start on an executor.
func (s *State) open(w *worker, now time.Time) bool { return w.usable(now) && !s.barred[w.info.ID] }

// Urgent reports whether urgent work runs on an executor.
func (s *State) Urgent(id string) bool {
	w := s.execs[id]
	return w != nil && w.urgent > 0
}

// SetExecutor takes an executor's entry into the plan or renews it.
func (s *State) SetExecutor(info model.Executor) {
	s.worker(info.ID).info = info
}

// worker returns an executor, which is made when needed: a recorded run may name
// one that has no entry.
func (s *State) worker(id string) *worker {
	w := s.execs[id]
	if w == nil {
		w = &worker{info: model.Executor{ID: id}, runs: make(map[runKey]*run)}
		s.execs[id] = w
	}
	return w
}

// Silent notes that an executor doesn't answer: it gets no new work until its
// next report. What runs there counts on.
func (s *State) Silent(id string) {
	if w := s.execs[id]; w != nil {
		w.silent = true
	}
}

// Lapsed notes that nothing runs on an executor any more: its leases have ended
// or it has a new incarnation.
func (s *State) Lapsed(id string) {
	w := s.execs[id]
	if w == nil {
		return
	}
	for _, r := range w.runs {
		s.dropRun(r)
	}
}

// RemoveExecutor forgets an executor on which nothing runs any more.
func (s *State) RemoveExecutor(id string) {
	s.Lapsed(id)
	delete(s.execs, id)
}

// Settled notes that an executor that hasn't reported can't run anything that
// isn't known.
func (s *State) Settled(id string) {
	if w := s.execs[id]; w != nil {
		w.known = true
	}
}

// Complete notes that all executors that have an entry are known.
func (s *State) Complete() { s.complete = true }

// Settle brings the time of WithSettle forward.
func (s *State) Settle(until time.Time) {
	if until.Before(s.settle) {
		s.settle = until
	}
}

// Known reports whether all executors of a zone have reported, or had been closed and
// run what is recorded.
func (s *State) Known(zone string) bool {
	if !s.complete {
		return false
	}
	for id, w := range s.execs {
		if w.info.Zone == zone && !w.known && !s.closedBefore[id] {
			return false
		}
	}
	return true
}

// unsettled reports whether an executor of service may run what isn't known. One
// that was closed, or that lacks an entry, got no new work of late, so that all its
// runs are recorded.
func (s *State) unsettled(service string, now time.Time) bool {
	if !now.Before(s.settle) {
		return false
	}
	if !s.complete {
		return true
	}
	for id, w := range s.execs {
		if w.known || s.closedBefore[id] || s.recorded != "" && w.info.Zone == s.recorded {
			continue
		}
		if w.info.Service == service || w.info.Service == "" && now.Before(s.relist) {
			return true
		}
	}
	return false
}
