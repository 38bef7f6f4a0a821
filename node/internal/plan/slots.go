package plan

import "time"

const (
	// longRequestTime is the answer time above which a request counts as long: it
	// occupies a host for so long that short requests must not wait behind it.
	longRequestTime = 200 * time.Millisecond
	// unknownShortDivisor sets the slots that are reserved for short requests until their number
	// is learned: one in unknownShortDivisor, and at least one.
	unknownShortDivisor = 4
	// maxShortDivisor bounds the slots that are reserved for short requests: one in
	// maxShortDivisor, so that long ones always go on.
	maxShortDivisor = 2
	// reservationTime is how long after the last short request slots stay reserved.
	reservationTime = 2 * time.Second
	// maxLongPerDecision bounds the long requests that one decision sends in order, since each looks
	// at all executors. The next decision follows within some 10 ms, and an answer takes far longer.
	maxLongPerDecision = 12
	// maxIdleDrafts bounds the requests that one decision drafts for slots that would stay idle.
	maxIdleDrafts = 4
)

// SetAdviceSlots sets the number of requests that may be pending at the adviser at a
// time: one for each host that can send them.
func (s *State) SetAdviceSlots(n int) { s.adviceSlots = n }

// idleSlots returns the number of slots without a request.
func (s *State) idleSlots() int { return s.adviceSlots - len(s.pendingAdvice) - len(s.failedSlots) }

// adviceSlotFree reports whether another request may be sent. As many slots are reserved for short
// requests as were needed at a time lately, until reservationTime after the last one, or after the
// first call.
func (s *State) adviceSlotFree(long bool, now time.Time) bool {
	if s.shortRequestAt.IsZero() {
		s.shortRequestAt = now
		s.shortRequests.note(float64(max(1, s.adviceSlots/unknownShortDivisor)), now)
	}
	if !long {
		s.shortWanted++
		s.shortRequests.note(float64(len(s.pendingAdvice)-s.longRequests+s.shortWanted), now)
	}
	if s.idleSlots() <= 0 {
		return false
	}
	return !long || s.longRequests < max(1, s.adviceSlots-s.reservedSlots(now))
}

// reservedSlots returns the number of slots that are reserved for short requests.
func (s *State) reservedSlots(now time.Time) int {
	if now.Sub(s.shortRequestAt) > reservationTime {
		return 0
	}
	return min(int(s.shortRequests.value(now)+0.5), max(1, s.adviceSlots/maxShortDivisor))
}

// hopeless reports whether the stage's occurrence can't end while it is worth anything. Nothing is
// asked about it while another stage needs a slot.
func (st *stage) hopeless(now time.Time) bool {
	if st.spec.Lasting {
		return false
	}
	j := st.occur.job
	return j.mark == markHopeless || now.Add(st.remainingPath()).After(st.occur.origin().Add(lateFactor*j.latencyObjective()))
}

// unsentRequest is a request that wasn't sent though none is pending for its stage.
type unsentRequest struct {
	stage *stage
	pool  *pool
	tasks int
}

// deferRequest notes that a request wasn't sent. It may be if slots stay idle.
func (s *State) deferRequest(st *stage, p *pool, n int, now time.Time) {
	q := unsentRequest{stage: st, pool: p, tasks: n}
	switch {
	case s.idleSlots() <= 0, now.Before(st.advice.nextRequest), now.Before(st.advice.nextAhead):
	case st.hopeless(now):
		if len(s.hopelessRequests) < maxIdleDrafts {
			s.hopelessRequests = append(s.hopelessRequests, q)
		}
	case len(s.unsentRequests) < maxIdleDrafts:
		s.unsentRequests = append(s.unsentRequests, q)
	}
}

// useIdleSlots sends requests that were deferred, as long as slots are idle: those of stages that
// were found to have nothing to ask about a moment ago, those about few executors, those about full
// executors far back in the order, and last those of hopeless stages.
func (s *State) useIdleSlots(now time.Time) {
	for _, q := range append(s.unsentRequests, s.hopelessRequests...) {
		st := q.stage
		if !st.advice.requestedAt.IsZero() || !s.adviceSlotFree(st.occur.job.queue.Decide > longRequestTime, now) {
			continue
		}
		draft := s.draftRequest(st, q.pool, q.tasks, false, now)
		if len(draft.executors) == 0 && st.reviewDenials(q.pool, now) {
			draft = s.draftRequest(st, q.pool, q.tasks, false, now)
		}
		if len(draft.executors) == 0 {
			draft = s.draftRequest(st, q.pool, q.tasks, true, now)
		}
		if len(draft.executors) == 0 {
			st.advice.nextAhead = now.Add(draftInterval)
			continue
		}
		s.sendRequest(st, draft, now)
	}
	s.noteIdleSlots(now)
	clear(s.unsentRequests)
	clear(s.hopelessRequests)
	s.unsentRequests, s.hopelessRequests, s.shortWanted, s.longSent = s.unsentRequests[:0], s.hopelessRequests[:0], 0, 0
}
