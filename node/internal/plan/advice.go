package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// askedAtOnce is how many executors a question names at most: time to answer
	// grows with each, and a third of them allow a step of some dozen tasks.
	askedAtOnce = 30
	// ticketMargin is how long a ticket has to be good for when its start is
	// ordered, for the way to the executor.
	ticketMargin = 150 * time.Millisecond
	// askAgain is how long a question may be under way before it counts as lost,
	// beyond what the adviser needs for it.
	askAgain = 3 * time.Second
	// longAnswer divides quick questions from those that keep a host busy for so
	// long that quick ones must not wait behind them.
	longAnswer = 200 * time.Millisecond
	// quickShare is which part of the hosts is kept for quick questions.
	quickShare = 4
	// allowedShare is the share of executors that is expected to be allowed.
	allowedShare = 0.4
	// askSurplus is how many times the waiting tasks a question should find room
	// for, since others take room while it is answered.
	askSurplus = 1.5
	// startsWorthAsking is how many starts make a long question worth its time at
	// once; after askPatience any is.
	startsWorthAsking = 4
	askPatience       = 1500 * time.Millisecond
)

// question is a question to the adviser that is under way.
type question struct {
	long  bool
	until time.Time // when it counts as lost
}

// SetTurns says how many hosts can ask the adviser, each one question at a time.
func (s *State) SetTurns(n int) { s.turns = n }

// mayAsk reports whether a host is free for another question.
func (s *State) mayAsk(long bool) bool {
	if len(s.asking) >= s.turns {
		return false
	}
	if !long {
		return true
	}
	n := 0
	for _, q := range s.asking {
		if q.long {
			n++
		}
	}
	return n < max(1, s.turns-max(1, s.turns/quickShare))
}

// forgetQuestions drops the questions that count as lost.
func (s *State) forgetQuestions(now time.Time) {
	for id, q := range s.asking {
		if now.After(q.until) {
			s.Unadvised(id)
		}
	}
}

// advice is what the adviser has said of a stage.
type advice struct {
	tickets map[string]ticket // by executor; which are allowed never changes
	asked   time.Time         // when a question was sent that isn't answered; zero for none
}

// ticket is the adviser's word on one executor.
type ticket struct {
	allowed bool
	text    string
	until   time.Time
}

// allows returns the ticket for an executor, and whether the executor is allowed.
func (a *advice) allows(id string, now time.Time) (string, bool) {
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
	delete(s.asking, step)
	st := s.stageOf(model.Task{Job: step.Job, Occur: step.Occur, Step: step.Step})
	if st == nil {
		return
	}
	st.advice.asked = time.Time{}
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
	delete(s.asking, step)
	if st := s.stageOf(model.Task{Job: step.Job, Occur: step.Occur, Step: step.Step}); st != nil {
		st.advice.asked = time.Time{}
	}
}

// ask orders a question about the stage if none is under way and a host is free
// to ask it. It names executors with room: those that are known to be allowed,
// whose tickets have expired, and as many new ones as the waiting tasks seem to
// need.
func (s *State) ask(st *stage, usable []*worker, now time.Time) {
	if !st.advice.asked.IsZero() {
		return
	}
	q := &st.occur.job.queue
	long := q.Decide > longAnswer
	if !s.mayAsk(long) {
		return
	}
	d := s.draft(st, usable, now)
	if len(d.names) == 0 {
		return
	}
	if long && d.full && d.gain < float64(min(st.waiting, startsWorthAsking)) && now.Sub(st.since) < askPatience {
		return
	}
	st.advice.asked = now
	takes := q.Decide + time.Duration(len(d.names))*q.Each
	s.asking[st.id()] = question{long: long, until: now.Add(takes + askAgain)}
	s.orders.Asks = append(s.orders.Asks, Ask{Step: st.id(), Executors: d.names, Takes: takes})
}

// draft is a question that could be asked.
type draft struct {
	names []string
	gain  float64 // tasks that are expected to start after its answer
	full  bool    // there are executors that it would name if they had room
}

// draft returns the question for a stage. Executors with a valid ticket needn't
// be named; those without room would be of no use.
func (s *State) draft(st *stage, usable []*worker, now time.Time) draft {
	room := st.spec.Room()
	var d draft
	var known, fresh []spot
	have := 0
	for _, w := range usable {
		t, asked := st.advice.tickets[w.info.ID]
		if asked && !t.allowed {
			continue
		}
		n := w.holds(st, room)
		_, valid := st.advice.allows(w.info.ID, now)
		switch {
		case n == 0:
			d.full = true
		case valid:
			have += n
		case asked:
			known = append(known, spot{worker: w, room: n, score: s.slow(w)})
		default:
			fresh = append(fresh, spot{worker: w, room: n, score: s.slow(w)})
		}
	}
	most := func(a, b spot) int {
		if st.urgent() {
			if c := cmp.Compare(a.score, b.score); c != 0 {
				return c
			}
		}
		return cmp.Compare(b.room, a.room)
	}
	if !st.spec.Lasting {
		order := st.zoneOrder(slices.Concat(known, fresh), st.waiting)
		inZone := most
		most = func(a, b spot) int {
			return cmp.Or(cmp.Compare(order[a.worker.info.Zone], order[b.worker.info.Zone]), inZone(a, b))
		}
	}
	slices.SortFunc(known, most)
	slices.SortFunc(fresh, most)
	wanted := askSurplus * float64(st.waiting-have)
	for i, group := range [][]spot{known, fresh} {
		chance := 1.0
		if i > 0 {
			chance = allowedShare
		}
		for _, sp := range group {
			if len(d.names) == askedAtOnce || d.gain >= wanted {
				return d
			}
			d.names = append(d.names, sp.worker.info.ID)
			d.gain += chance * float64(sp.room)
		}
	}
	return d
}

// holds returns how many more tasks of the stage may run there.
func (w *worker) holds(st *stage, room model.Amount) int {
	n := st.waiting
	if st.spec.Spread > 0 {
		n = min(n, st.spec.Spread-w.count(st))
	}
	free := w.free()
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
