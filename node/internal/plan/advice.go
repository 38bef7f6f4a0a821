package plan

import (
	"maps"
	"slices"
	"time"
)

const (
	// ticketMargin is the least remaining validity of a ticket when a start is
	// ordered, but at most half of the validity. It covers the time until the order
	// reaches the executor.
	ticketMargin = 150 * time.Millisecond
	// lostRequestGrace is how long after the expected time of its answer a request
	// counts as lost.
	lostRequestGrace = 3 * time.Second
	// minLongRequestStarts is the number of expected starts from which a long request
	// is sent at once. If there are fewer because executors are full, the stage waits
	// up to longRequestWait for free capacity.
	minLongRequestStarts = 4
	longRequestWait      = 1500 * time.Millisecond
	// draftInterval is the least time between two drafts of a stage's request if the first
	// one wasn't sent.
	draftInterval = 100 * time.Millisecond
	// failedRequestBackoff is how long a stage sends no request after one has failed, and
	// names no executor that was answered for or has refused its ticket.
	failedRequestBackoff = 100 * time.Millisecond
	// denialReviewInterval is how long a stage whose tasks have no executor because of
	// denials waits until it asks about these executors again.
	denialReviewInterval = 10 * time.Second
)

// pendingRequest is a request to the adviser without an answer.
type pendingRequest struct {
	decision int // in which it was ordered
	long     bool
	until    time.Time // when it counts as lost
}

// expireAdviceRequests drops the requests that count as lost, and frees the slots of those that failed.
func (s *State) expireAdviceRequests(now time.Time) {
	s.failedSlots = slices.DeleteFunc(s.failedSlots, func(until time.Time) bool { return !until.After(now) })
	for id, q := range s.pendingAdvice {
		if now.After(q.until) {
			s.AdviceFailed(now, AdviceRequest{Step: id, decision: q.decision})
		}
	}
}

// advice holds the adviser's answers for a stage. Tickets expire, but as long as the queue is
// advised, executors that are allowed stay so for their life, and the others aren't asked about
// again unless the stage can't run without them.
type advice struct {
	tickets       map[string]ticket // by executor that the adviser has answered for
	usableUntil   time.Time         // no ticket is usable after that
	requestedAt   time.Time         // when the pending request was ordered; zero for none
	hintChangedIn int               // last decision before the queue's hint has come or gone
	nextRequest   time.Time         // no request is sent before that, since the last one failed
	nextDraft     time.Time         // no request is drafted before that, unless executors have come or gone
	draftedFor    int               // number of executors when nextDraft was set
	nextAhead     time.Time         // full executors aren't asked about in idle slots before that
	aheadAttempts int               // requests that were sent before the tasks could start
	reviewAt      time.Time         // denials stand until then; zero if there are none
}

// delayDraft notes that a request that was drafted for the executors of p wasn't sent.
func (a *advice) delayDraft(p *pool, now time.Time) {
	a.nextDraft, a.draftedFor = now.Add(draftInterval), len(p.executors)
}

// ticket is the adviser's answer for one executor.
type ticket struct {
	decision    int // in which the request was ordered
	allowed     bool
	text        string
	usableUntil time.Time
	nextRequest time.Time // no request names the executor before that, since it was answered for or has refused the ticket
}

// setTicket stores the answer for an executor.
func (a *advice) setTicket(id string, t ticket) {
	if a.tickets == nil {
		a.tickets = make(map[string]ticket)
	}
	a.tickets[id] = t
	if t.usableUntil.After(a.usableUntil) {
		a.usableUntil = t.usableUntil
	}
}

// ticketFor returns the answer for the present life of an executor, and false if there is none.
func (a *advice) ticketFor(e *executor) (ticket, bool) {
	t, ok := a.tickets[e.info.ID]
	if !ok || t.decision <= e.bornIn {
		return ticket{}, false
	}
	return t, true
}

// validTicket returns the ticket for an executor, and false if the executor isn't allowed or
// the ticket isn't valid.
func (a *advice) validTicket(e *executor, now time.Time) (string, bool) {
	t, _ := a.ticketFor(e)
	if !t.usable(now) {
		return "", false
	}
	return t.text, true
}

// usable reports whether the executor is allowed and the ticket valid.
func (t *ticket) usable(now time.Time) bool {
	return t.allowed && t.usableUntil.After(now)
}

// expire invalidates a ticket that its executor refused. It does nothing if the stage has
// another one by now, or none: a refusal doesn't tell whether the executor is allowed.
func (a *advice) expire(id, text string, now time.Time) {
	t, ok := a.tickets[id]
	if !ok || t.text != text {
		return
	}
	t.usableUntil, t.nextRequest = time.Time{}, now.Add(failedRequestBackoff)
	a.setTicket(id, t)
}

// forgetDenials forgets which executors weren't allowed.
func (a *advice) forgetDenials() {
	maps.DeleteFunc(a.tickets, func(_ string, t ticket) bool { return !t.allowed })
	a.reviewAt = time.Time{}
}

// hintChanged notes that the hint of the job's queue has come or gone. Executors that weren't
// allowed may be so now, since without a hint the adviser may allow none.
func (s *State) hintChanged(j *job) {
	for _, o := range j.occurs {
		s.hintChangedFor(o)
	}
	if j.coming != nil {
		s.hintChangedFor(j.coming)
	}
}

// hintChangedFor does the same for an occurrence.
func (s *State) hintChangedFor(o *occurrence) {
	for _, st := range o.stages {
		st.advice.hintChangedIn = s.decision
		st.advice.forgetDenials()
	}
}

// AdviceReceived stores the adviser's answer to q: tickets has a ticket for each of the
// executors named that may run the step. The tickets are valid from now on for the time valid.
func (s *State) AdviceReceived(now time.Time, q AdviceRequest, tickets map[string]string, valid time.Duration) {
	st := s.adviceStage(q.Step)
	if s.removeRequest(q) && st != nil {
		st.advice.requestedAt = time.Time{}
	}
	if st == nil {
		return
	}
	if st.advice.tickets == nil {
		st.advice.tickets = make(map[string]ticket, len(q.Executors))
	}
	s.noteShare(st, q, tickets)
	usableUntil, nextRequest := now.Add(valid-min(ticketMargin, valid/2)), now.Add(failedRequestBackoff)
	for _, id := range q.Executors {
		e := s.executors[id]
		if e == nil || q.decision <= e.bornIn {
			continue // The answer is about an earlier life.
		}
		if st.advice.tickets[id].decision > q.decision {
			continue // The request counted as lost, and a later one was answered.
		}
		text, ok := tickets[id]
		if !ok && q.decision <= st.advice.hintChangedIn {
			continue // The adviser may have answered without a hint.
		}
		if !ok && st.advice.reviewAt.IsZero() {
			st.advice.reviewAt = now.Add(denialReviewInterval)
		}
		st.advice.setTicket(id, ticket{decision: q.decision, allowed: ok, text: text, usableUntil: usableUntil, nextRequest: nextRequest})
	}
}

// allowedShare returns what is learned of the share that the adviser of a queue allows.
func (s *State) allowedShare(queue string) *allowedShare {
	a := s.allowedShares[queue]
	if a == nil {
		a = &allowedShare{}
		s.allowedShares[queue] = a
	}
	return a
}

// noteShare learns from an answer to q what share of the executors is allowed. Tickets that were
// renewed tell nothing of it.
func (s *State) noteShare(st *stage, q AdviceRequest, tickets map[string]string) {
	named, allowed := 0, 0
	for _, id := range q.Executors {
		e := s.executors[id]
		if e == nil || q.decision <= e.bornIn || q.decision <= st.advice.hintChangedIn {
			continue
		}
		if _, answered := st.advice.ticketFor(e); answered {
			continue
		}
		named++
		if _, ok := tickets[id]; ok {
			allowed++
		}
	}
	s.allowedShare(st.occur.job.queue.Name).note(named, allowed)
}

// removeRequest removes a request that is no longer pending. It returns false if the request
// counts as lost already.
func (s *State) removeRequest(q AdviceRequest) bool {
	p, ok := s.pendingAdvice[q.Step]
	if !ok || p.decision != q.decision {
		return false
	}
	if p.long {
		s.longRequests--
	}
	delete(s.pendingAdvice, q.Step)
	return true
}

// AdviceFailed notes that q failed. Its slot stays occupied for failedRequestBackoff: if calls fail at
// once, each of many stages would otherwise send one in each decision.
func (s *State) AdviceFailed(now time.Time, q AdviceRequest) {
	if !s.removeRequest(q) {
		return
	}
	s.failedSlots = append(s.failedSlots, now.Add(failedRequestBackoff))
	if st := s.adviceStage(q.Step); st != nil {
		st.advice.requestedAt, st.advice.nextRequest = time.Time{}, now.Add(failedRequestBackoff)
	}
}
