package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// maxExecutorsPerRequest bounds the executors that one request names, since each
	// adds to the adviser's answer time. If a third of them are allowed, a step of
	// some dozen tasks fits on them.
	maxExecutorsPerRequest = 30
	// ticketMargin is the least remaining validity of a ticket when a start is
	// ordered, but at most half of the validity. It covers the time until the order
	// reaches the executor.
	ticketMargin = 150 * time.Millisecond
	// lostRequestGrace is how long after the expected time of its answer a request
	// counts as lost.
	lostRequestGrace = 3 * time.Second
	// longRequestTime is the answer time above which a request counts as long: it
	// occupies a host for so long that short requests must not wait behind it.
	longRequestTime = 200 * time.Millisecond
	// quickSlotDivisor sets the slots that are reserved for short requests: one in
	// quickSlotDivisor, and at least one.
	quickSlotDivisor = 4
	// expectedAllowedShare is the fraction of executors without an earlier answer
	// that the adviser is expected to allow.
	expectedAllowedShare = 0.4
	// requestSurplus times the waiting tasks is the number of tasks for which a
	// request should find capacity, since other work takes some of it before the
	// answer comes.
	requestSurplus = 1.5
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

// SetAdviceSlots sets the number of requests that may be pending at the adviser at a
// time: one for each host that can send them.
func (s *State) SetAdviceSlots(n int) { s.adviceSlots = n }

// adviceSlotFree reports whether another request may be sent.
func (s *State) adviceSlotFree(long bool) bool {
	if len(s.pendingAdvice) >= s.adviceSlots {
		return false
	}
	if !long {
		return true
	}
	return s.longRequests < max(1, s.adviceSlots-max(1, s.adviceSlots/quickSlotDivisor))
}

// expireAdviceRequests drops the requests that count as lost.
func (s *State) expireAdviceRequests(now time.Time) {
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
	requestedAt   time.Time         // when the pending request was ordered; zero for none
	hintChangedIn int               // last decision before the queue's hint has come or gone
	nextRequest   time.Time         // no request is sent before that, since the last one failed
	nextDraft     time.Time         // no request is drafted before that, unless executors have come or gone
	draftedFor    int               // number of executors when nextDraft was set
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
	a.tickets[id] = t
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
		for _, st := range o.stages {
			st.advice.hintChangedIn = s.decision
			st.advice.forgetDenials()
		}
	}
}

// AdviceReceived stores the adviser's answer to q: tickets has a ticket for each of the
// executors named that may run the step. The tickets are valid from now on for the time valid.
func (s *State) AdviceReceived(now time.Time, q AdviceRequest, tickets map[string]string, valid time.Duration) {
	st := s.stageOf(model.Task{Job: q.Step.Job, Occur: q.Step.Occur, Step: q.Step.Step})
	if s.removeRequest(q) && st != nil {
		st.advice.requestedAt = time.Time{}
	}
	if st == nil {
		return
	}
	if st.advice.tickets == nil {
		st.advice.tickets = make(map[string]ticket, len(q.Executors))
	}
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
		st.advice.tickets[id] = ticket{decision: q.decision, allowed: ok, text: text, usableUntil: usableUntil, nextRequest: nextRequest}
	}
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

// AdviceFailed notes that q failed.
func (s *State) AdviceFailed(now time.Time, q AdviceRequest) {
	if !s.removeRequest(q) {
		return
	}
	if st := s.stageOf(model.Task{Job: q.Step.Job, Occur: q.Step.Occur, Step: q.Step.Step}); st != nil {
		st.advice.requestedAt, st.advice.nextRequest = time.Time{}, now.Add(failedRequestBackoff)
	}
}

// requestAdvice orders a request about the stage if none is pending and a slot is
// free. It names executors with free capacity: first those that are known to be
// allowed but whose tickets have expired, then as many others as the waiting tasks
// seem to need.
func (s *State) requestAdvice(st *stage, p *pool, now time.Time) {
	if !st.advice.requestedAt.IsZero() || now.Before(st.advice.nextRequest) || now.Before(st.advice.nextDraft) && len(p.executors) == st.advice.draftedFor {
		return
	}
	q := &st.occur.job.queue
	long := q.Decide > longRequestTime
	if !s.adviceSlotFree(long) {
		return
	}
	draft := s.draftRequest(st, p, now)
	if len(draft.executors) == 0 && st.reviewDenials(p, now) {
		draft = s.draftRequest(st, p, now)
	}
	if len(draft.executors) == 0 {
		st.advice.delayDraft(p, now)
		return
	}
	if long && draft.someFull && draft.expectedStarts < float64(min(st.waiting, minLongRequestStarts)) && now.Sub(st.readySince) < longRequestWait {
		st.advice.delayDraft(p, now)
		return
	}
	st.advice.requestedAt = now
	estimate := q.Decide + time.Duration(len(draft.executors))*q.Each
	if long {
		s.longRequests++
	}
	s.pendingAdvice[st.id()] = pendingRequest{decision: s.decision, long: long, until: now.Add(estimate + lostRequestGrace)}
	s.orders.AdviceRequests = append(s.orders.AdviceRequests, AdviceRequest{Step: st.id(), Executors: draft.executors, EstimatedTime: estimate, decision: s.decision})
}

// requestDraft is a request that may be sent.
type requestDraft struct {
	executors      []string
	expectedStarts float64 // tasks that the answer is expected to let start
	someFull       bool    // executors were left out for lack of capacity
}

// draftRequest returns the request for a stage. It leaves out executors with a valid
// ticket, those that aren't allowed, and those without free capacity.
func (s *State) draftRequest(st *stage, p *pool, now time.Time) requestDraft {
	perTask := st.spec.Room()
	var d requestDraft
	if !p.mayFit(perTask) {
		return d
	}
	var allowed, unasked []fit
	covered := 0
	for _, e := range p.executors {
		full := !perTask.Fits(e.free())
		if full && d.someFull {
			continue
		}
		t, answered := st.advice.ticketFor(e)
		if answered && !t.allowed || now.Before(t.nextRequest) {
			continue
		}
		n := e.capacityFor(st, perTask)
		switch {
		case n == 0:
			d.someFull = true
		case t.usable(now):
			covered += n
		case answered:
			allowed = append(allowed, fit{executor: e, tasks: n, score: e.relativeTime})
		default:
			unasked = append(unasked, fit{executor: e, tasks: n, score: e.relativeTime})
		}
	}
	better := func(a, b fit) int {
		if st.urgent() {
			if c := cmp.Compare(a.score, b.score); c != 0 {
				return c
			}
		}
		return cmp.Compare(b.tasks, a.tasks)
	}
	if !st.spec.Lasting {
		all := slices.Concat(allowed, unasked)
		st.rankZones(all, st.waiting)
		allowed, unasked = all[:len(allowed)], all[len(allowed):]
		withinZone := better
		better = func(a, b fit) int { return cmp.Or(a.zoneRank-b.zoneRank, withinZone(a, b)) }
	}
	slices.SortFunc(allowed, better)
	slices.SortFunc(unasked, better)
	wanted := requestSurplus * float64(st.waiting-covered)
	for i, group := range [][]fit{allowed, unasked} {
		probability := 1.0
		if i > 0 {
			probability = expectedAllowedShare
		}
		for _, ft := range group {
			if len(d.executors) == maxExecutorsPerRequest || d.expectedStarts >= wanted {
				return d
			}
			d.executors = append(d.executors, ft.executor.info.ID)
			d.expectedStarts += probability * float64(ft.tasks)
		}
	}
	return d
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
	n := st.waiting
	if st.spec.Spread > 0 {
		n = min(n, st.spec.Spread-e.runsOf(st))
	}
	return fitting(n, perTask, e.free())
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
