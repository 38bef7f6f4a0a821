package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// idleLogInterval is the least time between two reports of a step that isn't asked about.
const idleLogInterval = time.Second

// maxIdleGap bounds the time that a decision adds to that in which slots were idle, since nothing
// is known of longer pauses between decisions.
const maxIdleGap = 200 * time.Millisecond

// AdviceIdle describes a step that waits for advice while slots are idle and executors that it might
// use have capacity. That is a fault, or slots are reserved for short requests.
type AdviceIdle struct {
	Step      model.StepID
	Waiting   int           // tasks without a run
	For       time.Duration // since the step was ready
	Executors int           // that a request would have named
	Slots     int           // that were idle
	Reserved  bool          // slots are kept for short requests
	Failed    bool          // the last request has failed a moment ago
}

// noteUnsent notes the first stage of a decision for which no request was sent.
func (s *State) noteUnsent(st *stage, p *pool, n int, now time.Time) {
	if s.firstUnsent.stage == nil && now.Sub(st.readySince) > draftInterval {
		s.firstUnsent = unsentRequest{stage: st, pool: p, tasks: n}
	}
}

// noteIdleSlots adds up the time in which a step waited for advice though slots were idle, other than
// those kept for short requests, and executors had capacity. It reports the step in either case.
func (s *State) noteIdleSlots(now time.Time) {
	passed := min(now.Sub(s.idleChecked), maxIdleGap)
	q := s.firstUnsent
	s.idleChecked, s.firstUnsent = now, unsentRequest{}
	idle := s.idleSlots()
	if q.stage == nil || idle <= 0 || !q.stage.advice.requestedAt.IsZero() {
		s.idleSince = time.Time{}
		return
	}
	draft := s.draftRequest(q.stage, q.pool, q.tasks, false, now)
	if len(draft.executors) == 0 {
		s.idleSince = time.Time{}
		return
	}
	if s.idleSince.IsZero() {
		s.idleSince = now // The next decision tells whether it stays so.
		return
	}
	long := q.stage.occur.job.queue.Decide > longRequestTime
	reserved := long && !s.adviceSlotFree(true, now)
	if !reserved {
		s.orders.AdviceIdle += passed
	}
	if now.Sub(s.idleLogged) < idleLogInterval {
		return
	}
	s.idleLogged = now
	s.orders.AdviceIdles = append(s.orders.AdviceIdles, AdviceIdle{
		Step: q.stage.id(), Waiting: q.stage.waiting, For: now.Sub(q.stage.readySince), Executors: len(draft.executors), Slots: idle,
		Reserved: reserved, Failed: now.Before(q.stage.advice.nextRequest),
	})
}
