package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Times of telling why work waits.
const (
	// logWaitAfter is how long a stage waits until its reason is told, and between
	// two times that it is.
	logWaitAfter = 3 * time.Second
	// maxWaitsPerCall bounds how many are told at a time.
	maxWaitsPerCall = 20
)

// Wait is a stage that has waited for long, with what its last decision rested
// on.
type Wait struct {
	Step    model.StepID
	Reason  string // limit, room, advice, unsettled
	Waiting int    // tasks that have no run
	Since   time.Time
	Usable  int  // executors that could get new work
	Allowed int  // of these, executors with a valid ticket
	Roomy   int  // of these, executors with room for a task
	Excess  bool // the job is beyond its team's share
	Asking  bool // a question to the adviser is under way
}

// Waiting returns how many tasks could run and have no run.
func (s *State) Waiting() int {
	n := 0
	for _, j := range s.jobs {
		if j.phase.Final() {
			continue
		}
		for _, o := range j.occurs {
			for _, st := range o.stages {
				if st.waiting > 0 && o.ready(st) {
					n += st.waiting
				}
			}
		}
	}
	return n
}

// Waits returns stages that have waited for long, each once in a while.
func (s *State) Waits(now time.Time) []Wait {
	var out []Wait
	for _, j := range s.jobs {
		if j.phase.Final() {
			continue
		}
		for _, o := range j.occurs {
			for _, st := range o.stages {
				if len(out) == maxWaitsPerCall {
					return out
				}
				if w, long := s.longWaitOf(st, now); long {
					out = append(out, w)
				}
			}
		}
	}
	return out
}

// longWaitOf tells why a stage waits, if it has for long.
func (s *State) longWaitOf(st *stage, now time.Time) (Wait, bool) {
	if st.waiting == 0 || st.readySince.IsZero() || now.Sub(st.readySince) < logWaitAfter || now.Sub(st.lastLogged) < logWaitAfter || !st.occur.ready(st) {
		return Wait{}, false
	}
	st.lastLogged = now
	j := st.occur.job
	w := Wait{Step: st.id(), Waiting: st.waiting, Since: st.readySince, Excess: j.overQuota, Asking: !st.advice.requestedAt.IsZero(), Reason: "room"}
	room := st.spec.Room()
	for _, e := range s.executors {
		if e.info.Service != j.queue.Service || !s.schedulable(e, now) {
			continue
		}
		w.Usable++
		if j.queue.Advised {
			if _, ok := st.advice.validTicket(e.info.ID, now); !ok {
				continue
			}
		}
		w.Allowed++
		if e.capacityFor(st, room) > 0 {
			w.Roomy++
		}
	}
	switch {
	case j.inherited && s.unsettled(j.queue.Service, now):
		w.Reason = "unsettled"
	case s.team(j.spec.Team).headroom(st.spec.Need, s.config.Teams[j.spec.Team].Limit, 1) == 0:
		w.Reason = "limit"
	case j.queue.Advised && w.Allowed < w.Usable && w.Roomy == 0:
		w.Reason = "advice"
	}
	return w, true
}
