package plan

import (
	"slices"
	"time"
)

// stopRetryDelay is the time after which a stop that hasn't taken effect is ordered
// again. It is longer than a call and a stop usually take.
const stopRetryDelay = 1500 * time.Millisecond

// sweepInterval is the least time between two sweeps. What they look for isn't urgent.
const sweepInterval = 100 * time.Millisecond

// Decide returns the orders that are due at now. The caller carries out each of them
// once.
func (s *State) Decide(now time.Time) Orders {
	s.decision++
	s.beginColdTimes(now)
	swept := !now.Before(s.nextSweep)
	if swept {
		s.nextSweep = now.Add(sweepInterval)
		s.sweep(now)
		s.startCopies(now)
		s.turnover.update(s.capacity(), now)
	}
	s.expireAdviceRequests(now)
	var waiting []waitingStage
	if !s.paused {
		waiting = s.waitingStages(now)
	}
	s.forecaster.waiting = waiting
	pools := make(map[string]*pool)
	s.backlogged, s.slowPooled = false, false
	for _, c := range waiting {
		service := c.stage.occur.job.queue.Service
		p := pools[service]
		if p == nil {
			p = s.newPool(service, now)
			p.supply = s.newSupply(p, waiting)
			pools[service] = p
		}
		s.placeStage(c.stage, p, now)
		p.supply.ahead += c.stage.waitingCPU()
		s.backlogged = s.backlogged || c.stage.waiting > 0
	}
	if swept {
		s.moveRuns(waiting, pools, now)
	}
	s.useIdleSlots(now)
	s.askAhead(pools, now)
	s.adjustPaces(now)
	out := s.orders
	s.orders = Orders{}
	return out
}

// Pause sets whether new runs are held back.
func (s *State) Pause(paused bool) { s.paused = paused }

// waitingStage is a stage with tasks to start.
type waitingStage struct {
	stage   *stage
	urgency urgency
}

// waitingStages returns the stages that may start tasks, the most urgent first. It
// also starts the occurrences that are due.
func (s *State) waitingStages(now time.Time) []waitingStage {
	var out []waitingStage
	unsettled := make(map[string]bool)
	for _, j := range s.jobs {
		if j.phase.Final() {
			continue
		}
		j.beginDue(now, s.recordSize)
		copiesOnly := false
		if j.inherited && !now.After(s.settleDeadline) {
			service := j.queue.Service
			if _, ok := unsettled[service]; !ok {
				unsettled[service] = s.unsettled(service, now)
			}
			copiesOnly = unsettled[service] // A run that isn't known yet doesn't keep a copy from starting.
		}
		for _, o := range j.occurs {
			for _, st := range o.stages {
				if st.waiting == 0 || !o.ready(st) || copiesOnly && !st.mayCopy() {
					continue
				}
				if st.readySince.IsZero() {
					st.readySince = now
				}
				out = append(out, waitingStage{stage: st, urgency: st.urgency(now)})
			}
		}
	}
	slices.SortFunc(out, func(a, b waitingStage) int { return a.urgency.compare(b.urgency) })
	return out
}

// sweep orders stops again that haven't taken effect, and removes executors that were
// never registered once their leases have ended. It forgets jobs whose end is
// recorded and that have no runs left.
func (s *State) sweep(now time.Time) {
	for id, e := range s.executors {
		if e.info.Service == "" && now.After(s.leaseEnd(id)) {
			_, recorded := s.leaseEnds[id]
			s.orders.Expired = append(s.orders.Expired, Expiry{Executor: id, Runs: len(e.runs), Recorded: recorded})
			s.RemoveExecutor(id) // It was never registered.
			continue
		}
		for _, r := range e.runs {
			if r.state == stopping && now.Sub(r.stopOrderedAt) > stopRetryDelay && !e.silent {
				s.stopRun(r, now)
			}
		}
	}
	for id, j := range s.jobs {
		if j.phase.Final() && s.dirty[id] == nil && !s.hasRuns(j) && (!j.inherited || now.After(s.settleDeadline)) {
			s.forget(id)
		}
	}
}
