package plan

import "time"

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
	s.expireReturns(now)
	swept := !now.Before(s.nextSweep)
	if swept {
		s.nextSweep = now.Add(sweepInterval)
		s.sweep(now)
		s.startCopies(now)
		s.turnover.update(s.capacity(), now)
		s.markJobs(now)
	}
	s.expireAdviceRequests(now)
	var waiting []waitingStage
	if !s.paused {
		waiting = s.waitingStages(now)
	}
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

// waitingStages returns the stages that may start tasks, the most urgent first. It
// also starts the occurrences that are due.
func (s *State) waitingStages(now time.Time) []waitingStage {
	s.order.beginDue(now, s.recordSize)
	waiting := s.order.update(now)
	if !now.After(s.settleDeadline) {
		waiting = s.settledStages(waiting, now)
	}
	for i := range waiting {
		if st := waiting[i].stage; st.readySince.IsZero() {
			st.readySince = now
		}
	}
	return waiting
}

// settledStages returns the stages without those that may have runs which aren't known yet.
func (s *State) settledStages(waiting []waitingStage, now time.Time) []waitingStage {
	out := make([]waitingStage, 0, len(waiting))
	unsettled := make(map[string]bool)
	for _, w := range waiting {
		if j := w.stage.occur.job; j.inherited && !w.stage.mayCopy() { // A run that isn't known yet doesn't keep a copy from starting.
			service := j.queue.Service
			if _, ok := unsettled[service]; !ok {
				unsettled[service] = s.unsettled(service, now)
			}
			if unsettled[service] {
				continue
			}
		}
		out = append(out, w)
	}
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
