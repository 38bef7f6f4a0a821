package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Limits for reporting long waits.
const (
	// logWaitAfter is how long a stage waits before LongWaits returns it, and the
	// time until LongWaits returns it again.
	logWaitAfter = 3 * time.Second
	// maxWaitsPerCall bounds the stages that one call of LongWaits returns.
	maxWaitsPerCall = 20
)

// Wait describes a stage that has waited for long, and the state of the executors of
// its service.
type Wait struct {
	Step          model.StepID
	Reason        string // limit, room, advice, unsettled or evacuated
	Waiting       int    // tasks without a run
	Since         time.Time
	Usable        int  // executors that accept new work
	Allowed       int  // of these, executors with a valid ticket, if the queue needs one
	WithCapacity  int  // of those allowed, executors with capacity for a task
	OverQuota     bool // the job exceeds its team's submission quota
	AdvicePending bool // a request to the adviser is pending
}

// Jobs returns the number of jobs that haven't ended or may have runs.
func (s *State) Jobs() int { return len(s.jobs) }

// Unrecorded returns the number of jobs whose progress has to be recorded.
func (s *State) Unrecorded() int { return len(s.dirty) }

// Waiting returns the number of tasks that are ready to run and have no run.
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

// LongWaits returns stages that have waited for long, to be logged. It returns a
// stage at most once every three seconds.
func (s *State) LongWaits(now time.Time) []Wait {
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

// longWaitOf returns why a stage waits, and whether its wait is to be reported now.
func (s *State) longWaitOf(st *stage, now time.Time) (Wait, bool) {
	if st.waiting == 0 || st.readySince.IsZero() || now.Sub(st.readySince) < logWaitAfter || now.Sub(st.lastLogged) < logWaitAfter || !st.occur.ready(st) {
		return Wait{}, false
	}
	st.lastLogged = now
	j, team := st.occur.job, st.occur.job.team
	w := Wait{Step: st.id(), Waiting: st.waiting, Since: st.readySince, OverQuota: j.overQuota, AdvicePending: !st.advice.requestedAt.IsZero(), Reason: "room"}
	perTask, advised := st.spec.Room(), s.advised(j, now)
	for _, e := range s.executors {
		if e.info.Service != j.queue.Service || !s.schedulable(e, now) {
			continue
		}
		w.Usable++
		if advised {
			if _, ok := st.advice.validTicket(e, now); !ok {
				continue
			}
		}
		w.Allowed++
		if e.capacityFor(st, perTask) > 0 {
			w.WithCapacity++
		}
	}
	switch {
	case s.waitsForZone(st):
		w.Reason = "evacuated"
	case j.inherited && s.unsettled(j.queue.Service, now):
		w.Reason = "unsettled"
	case team.headroom(st.spec.Need, s.limit(team, j.spec), 1) == 0:
		w.Reason = "limit"
	case advised && w.Allowed < w.Usable && w.WithCapacity == 0:
		w.Reason = "advice"
	}
	return w, true
}
