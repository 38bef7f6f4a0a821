package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// requestAdvice orders a request for n tasks of the stage if none is pending and a slot is free. It
// names executors with free capacity, and under a backlog full ones, too: first those that are
// known to be allowed but whose tickets have expired, then as many others as the tasks seem to need.
func (s *State) requestAdvice(st *stage, p *pool, n int, now time.Time) {
	if !st.advice.requestedAt.IsZero() {
		return
	}
	if !s.tryRequest(st, p, n, now) {
		s.noteUnsent(st, p, n, now)
		s.deferRequest(st, p, n, now)
	}
}

// tryRequest orders a request unless it has to wait. It returns false if it wasn't ordered.
func (s *State) tryRequest(st *stage, p *pool, n int, now time.Time) bool {
	if now.Before(st.advice.nextRequest) || now.Before(st.advice.nextDraft) && len(p.executors) == st.advice.draftedFor {
		return false
	}
	q := &st.occur.job.queue
	long := q.Decide > longRequestTime
	if long && s.longSent >= maxLongPerDecision {
		s.orders.More = true
		return false
	}
	if long && !s.adviceSlotFree(long, now) || st.hopeless(now) || !long && !s.adviceSlotFree(long, now) {
		return false // Hopeless steps don't count as short ones that want a slot.
	}
	ahead := p.supply.backlogged() && p.supply.nextInOrder(q.Decide+q.Valid)
	draft := s.draftRequest(st, p, n, ahead, now)
	if len(draft.executors) == 0 && st.reviewDenials(p, now) {
		draft = s.draftRequest(st, p, n, ahead, now)
	}
	few := draft.someFull && draft.expectedStarts < float64(min(st.waiting, minLongRequestStarts)) && now.Sub(st.readySince) < longRequestWait
	if len(draft.executors) == 0 || long && !ahead && few {
		st.advice.delayDraft(p, now)
		return false
	}
	s.sendRequest(st, draft, now)
	return true
}

// sendRequest orders a request.
func (s *State) sendRequest(st *stage, draft requestDraft, now time.Time) {
	q := &st.occur.job.queue
	long := q.Decide > longRequestTime
	st.advice.requestedAt = now
	estimate := q.Decide + time.Duration(len(draft.executors))*q.Each
	if old, ok := s.pendingAdvice[st.id()]; ok {
		s.removeRequest(AdviceRequest{Step: st.id(), decision: old.decision}) // The stage was built anew.
	}
	if long {
		s.longRequests++
		s.longSent++
	} else {
		s.shortRequestAt = now
	}
	s.pendingAdvice[st.id()] = pendingRequest{decision: s.decision, long: long, until: now.Add(estimate + lostRequestGrace)}
	s.orders.AdviceRequests = append(s.orders.AdviceRequests, AdviceRequest{Step: st.id(), Executors: draft.executors, EstimatedTime: estimate, decision: s.decision})
}

// reviewDenials forgets the denials for executors of p if they have stood for a while and the
// other executors couldn't hold the stage even if they were idle. The adviser may have had
// another configuration than this host. It reports whether there were any.
func (st *stage) reviewDenials(p *pool, now time.Time) bool {
	if st.advice.reviewAt.IsZero() || now.Before(st.advice.reviewAt) {
		return false
	}
	tasks := 1
	if st.spec.Gang {
		tasks = len(st.tasks)
	}
	denied := 0
	for _, e := range p.executors {
		if t, answered := st.advice.ticketFor(e); answered && !t.allowed {
			denied++
		} else {
			tasks -= e.idleCapacityFor(st)
		}
	}
	if denied == 0 || tasks <= 0 {
		return false
	}
	st.advice.forgetDenials()
	return true
}

// idleCapacityFor returns how many tasks of the stage would fit on the executor if it were idle.
func (e *executor) idleCapacityFor(st *stage) int {
	n := len(st.tasks)
	if st.spec.Spread > 0 {
		n = min(n, st.spec.Spread)
	}
	return fitting(n, st.spec.Room(), e.info.Room)
}

// capacityFor returns how many more tasks of the stage fit on the executor.
func (e *executor) capacityFor(st *stage, perTask model.Amount) int {
	n, free := st.waiting, e.free()
	if e.reservation != nil {
		free = e.reservation.free(st)
	}
	if st.spec.Spread > 0 {
		n = min(n, st.spec.Spread-e.runsOf(st))
	}
	return fitting(n, perTask, free)
}

// fitting returns how many of n tasks fit into a free capacity.
func fitting(n int, perTask, free model.Amount) int {
	if perTask.CPU > 0 {
		n = min(n, int(free.CPU/perTask.CPU))
	}
	if perTask.Memory > 0 {
		n = min(n, int(free.Memory/perTask.Memory))
	}
	if perTask.Accel > 0 {
		n = min(n, int(free.Accel/perTask.Accel))
	}
	return max(0, n)
}
