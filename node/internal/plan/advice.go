package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// maxExecutorsPerRequest is how many executors a question names at most: time to answer
	// grows with each, and a third of them allow a step of some dozen tasks.
	maxExecutorsPerRequest = 30
	// ticketMargin is how long a ticket has to be good for when its start is
	// ordered, for the way to the executor.
	ticketMargin = 150 * time.Millisecond
	// lostRequestGrace is how long a question may be under way before it counts as lost,
	// beyond what the adviser needs for it.
	lostRequestGrace = 3 * time.Second
	// longRequestTime divides quick questions from those that keep a host busy for so
	// long that quick ones must not wait behind them.
	longRequestTime = 200 * time.Millisecond
	// quickSlotDivisor is which part of the hosts is kept for quick questions.
	quickSlotDivisor = 4
	// expectedAllowedShare is the share of executors that is expected to be allowed.
	expectedAllowedShare = 0.4
	// requestSurplus is how many times the waiting tasks a question should find room
	// for, since others take room while it is answered.
	requestSurplus = 1.5
	// minLongRequestStarts is how many starts make a long question worth its time at
	// once; after askPatience any is.
	minLongRequestStarts = 4
	longRequestWait      = 1500 * time.Millisecond
)

// pendingRequest is a question to the adviser that is under way.
type pendingRequest struct {
	long  bool
	until time.Time // when it counts as lost
}

// SetTurns says how many hosts can ask the adviser, each one question at a time.
func (s *State) SetTurns(n int) { s.adviceSlots = n }

// adviceSlotFree reports whether a host is free for another question.
func (s *State) adviceSlotFree(long bool) bool {
	if len(s.pendingAdvice) >= s.adviceSlots {
		return false
	}
	if !long {
		return true
	}
	n := 0
	for _, q := range s.pendingAdvice {
		if q.long {
			n++
		}
	}
	return n < max(1, s.adviceSlots-max(1, s.adviceSlots/quickSlotDivisor))
}

// expireAdviceRequests drops the questions that count as lost.
func (s *State) expireAdviceRequests(now time.Time) {
	for id, q := range s.pendingAdvice {
		if now.After(q.until) {
			s.Unadvised(id)
		}
	}
}

// advice is what the adviser has said of a stage.
type advice struct {
	tickets     map[string]ticket // by executor; which are allowed never changes
	requestedAt time.Time         // when a question was sent that isn't answered; zero for none
}

// ticket is the adviser's word on one executor.
type ticket struct {
	allowed bool
	text    string
	until   time.Time
}

// validTicket returns the ticket for an executor, and whether the executor is allowed.
func (a *advice) validTicket(id string, now time.Time) (string, bool) {
	t := a.tickets[id]
	return t.text, t.allowed && t.until.After(now.Add(ticketMargin))
}

// expire notes that an executor didn't take a ticket.
func (a *advice) expire(id string) {
	t := a.tickets[id]
	t.until = time.Time{}
	a.tickets[id] = t
}

// Advised takes the adviser's answer: named were asked for, and tickets has
// those that may run the step, each good until until.
func (s *State) Advised(step model.StepID, named []string, tickets map[string]string, until time.Time) {
	delete(s.pendingAdvice, step)
	st := s.stageOf(model.Task{Job: step.Job, Occur: step.Occur, Step: step.Step})
	if st == nil {
		return
	}
	st.advice.requestedAt = time.Time{}
	if st.advice.tickets == nil {
		st.advice.tickets = make(map[string]ticket, len(named))
	}
	for _, id := range named {
		text, ok := tickets[id]
		st.advice.tickets[id] = ticket{allowed: ok, text: text, until: until}
	}
}

// Unadvised notes that a question was not answered.
func (s *State) Unadvised(step model.StepID) {
	delete(s.pendingAdvice, step)
	if st := s.stageOf(model.Task{Job: step.Job, Occur: step.Occur, Step: step.Step}); st != nil {
		st.advice.requestedAt = time.Time{}
	}
}

// requestAdvice orders a question about the stage if none is under way and a host is free
// to ask it. It names executors with room: those that are known to be allowed,
// whose tickets have expired, and as many new ones as the waiting tasks seem to
// need.
func (s *State) requestAdvice(st *stage, executors []*executor, now time.Time) {
	if !st.advice.requestedAt.IsZero() {
		return
	}
	q := &st.occur.job.queue
	long := q.Decide > longRequestTime
	if !s.adviceSlotFree(long) {
		return
	}
	draft := s.draftRequest(st, executors, now)
	if len(draft.executors) == 0 {
		return
	}
	if long && draft.someFull && draft.expectedStarts < float64(min(st.waiting, minLongRequestStarts)) && now.Sub(st.readySince) < longRequestWait {
		return
	}
	st.advice.requestedAt = now
	takes := q.Decide + time.Duration(len(draft.executors))*q.Each
	s.pendingAdvice[st.id()] = pendingRequest{long: long, until: now.Add(takes + lostRequestGrace)}
	s.orders.Asks = append(s.orders.Asks, Ask{Step: st.id(), Executors: draft.executors, Takes: takes})
}

// requestDraft is a question that could be asked.
type requestDraft struct {
	executors      []string
	expectedStarts float64 // tasks that are expected to start after its answer
	someFull       bool    // there are executors that it would name if they had room
}

// draftRequest returns the question for a stage. Executors with a valid ticket needn't
// be named; those without room would be of no use.
func (s *State) draftRequest(st *stage, executors []*executor, now time.Time) requestDraft {
	room := st.spec.Room()
	var d requestDraft
	var allowed, unasked []fit
	covered := 0
	for _, e := range executors {
		t, asked := st.advice.tickets[e.info.ID]
		if asked && !t.allowed {
			continue
		}
		n := e.capacityFor(st, room)
		_, valid := st.advice.validTicket(e.info.ID, now)
		switch {
		case n == 0:
			d.someFull = true
		case valid:
			covered += n
		case asked:
			allowed = append(allowed, fit{executor: e, tasks: n, score: s.slowdown(e)})
		default:
			unasked = append(unasked, fit{executor: e, tasks: n, score: s.slowdown(e)})
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
		zoneRanks := st.rankZones(slices.Concat(allowed, unasked), st.waiting)
		withinZone := better
		better = func(a, b fit) int {
			return cmp.Or(cmp.Compare(zoneRanks[a.executor.info.Zone], zoneRanks[b.executor.info.Zone]), withinZone(a, b))
		}
	}
	slices.SortFunc(allowed, better)
	slices.SortFunc(unasked, better)
	wanted := requestSurplus * float64(st.waiting-covered)
	for i, group := range [][]fit{allowed, unasked} {
		chance := 1.0
		if i > 0 {
			chance = expectedAllowedShare
		}
		for _, ft := range group {
			if len(d.executors) == maxExecutorsPerRequest || d.expectedStarts >= wanted {
				return d
			}
			d.executors = append(d.executors, ft.executor.info.ID)
			d.expectedStarts += chance * float64(ft.tasks)
		}
	}
	return d
}

// capacityFor returns how many more tasks of the stage may run there.
func (e *executor) capacityFor(st *stage, room model.Amount) int {
	n := st.waiting
	if st.spec.Spread > 0 {
		n = min(n, st.spec.Spread-e.runsOf(st))
	}
	free := e.free()
	if room.CPU > 0 {
		n = min(n, int(free.CPU/room.CPU))
	}
	if room.Memory > 0 {
		n = min(n, int(free.Memory/room.Memory))
	}
	if room.Accel > 0 {
		n = min(n, int(free.Accel/room.Accel))
	}
	return max(0, n)
}
