package plan

import (
	"slices"
	"time"
)

// stopAgain is after how long a stop is ordered again that hasn't taken effect:
// longer than a call and a stop usually take.
const stopAgain = 1500 * time.Millisecond

// Decide returns the orders that are due at now. Each is to be carried out once.
func (s *State) Decide(now time.Time) Orders {
	s.sweep(now)
	s.forgetQuestions(now)
	var waiting []candidate
	if !s.paused {
		waiting = s.waiting(now)
	}
	pools := make(map[string]*pool)
	for _, c := range waiting {
		service := c.stage.occur.job.queue.Service
		p := pools[service]
		if p == nil {
			p = s.pool(service, now)
			pools[service] = p
		}
		s.place(c.stage, p, now)
	}
	s.setPaces(now)
	out := s.orders
	s.orders = Orders{}
	return out
}

// Pause says whether runs may start.
func (s *State) Pause(paused bool) { s.paused = paused }

// candidate is a stage with tasks to start.
type candidate struct {
	stage   *stage
	urgency urgency
}

// waiting returns the stages that may start tasks, the most urgent first.
func (s *State) waiting(now time.Time) []candidate {
	var out []candidate
	unsettled := make(map[string]bool)
	for _, j := range s.jobs {
		if j.phase.Final() {
			continue
		}
		for k, due := j.next(now); due; k, due = j.next(now) {
			j.begin(k)
		}
		if j.old && !now.After(s.settle) {
			service := j.queue.Service
			if _, ok := unsettled[service]; !ok {
				unsettled[service] = s.unsettled(service, now)
			}
			if unsettled[service] {
				continue
			}
		}
		for _, o := range j.occurs {
			for _, st := range o.stages {
				if st.waiting == 0 || !o.ready(st) {
					continue
				}
				if st.since.IsZero() {
					st.since = now
				}
				out = append(out, candidate{stage: st, urgency: st.urgency(now)})
			}
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		if a.urgency.before(b.urgency) {
			return -1
		}
		if b.urgency.before(a.urgency) {
			return 1
		}
		return 0
	})
	return out
}

// sweep orders stops again that haven't taken effect and forgets jobs that have
// ended and are recorded.
func (s *State) sweep(now time.Time) {
	for id, w := range s.execs {
		if w.info.Service == "" && now.After(s.lapse(id)) {
			s.RemoveExecutor(id) // It never had an entry.
			continue
		}
		for _, r := range w.runs {
			if r.state == stopping && now.Sub(r.stopped) > stopAgain && !w.silent {
				s.stopRun(r, now)
			}
		}
	}
	for id, j := range s.jobs {
		if j.phase.Final() && s.dirty[id] == nil && !s.present(j) && (!j.old || now.After(s.settle)) {
			s.forget(id)
		}
	}
}
