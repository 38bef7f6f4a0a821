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
)

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
	if st := s.stageOf(model.Task{Job: step.Job, Occur: step.Occur, Step: step.Step}); st != nil {
		st.advice.asked = time.Time{}
	}
}

// ask orders a question about the stage if none is under way: for the allowed
// executors with room whose tickets have expired, and if they are too few also
// for those that weren't asked for yet.
func (s *State) ask(st *stage, usable []*worker, now time.Time) {
	q := &st.occur.job.queue
	if !st.advice.asked.IsZero() && now.Before(st.advice.asked.Add(askAgain+q.Decide+askedAtOnce*q.Each)) {
		return
	}
	room := st.spec.Room()
	var names []string
	held := 0 // tasks that the named executors have room for
	for _, w := range usable {
		if t, ok := st.advice.tickets[w.info.ID]; ok && t.allowed {
			if n := w.holds(st, room); n > 0 {
				names = append(names, w.info.ID)
				held += n
			}
		}
	}
	if held < st.waiting {
		fresh := slices.DeleteFunc(slices.Clone(usable), func(w *worker) bool {
			_, known := st.advice.tickets[w.info.ID]
			return known || w.holds(st, room) == 0
		})
		slices.SortFunc(fresh, func(a, b *worker) int { return cmp.Compare(b.free().CPU, a.free().CPU) })
		for _, w := range fresh[:min(len(fresh), askedAtOnce)] {
			names = append(names, w.info.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	names = names[:min(len(names), askedAtOnce)]
	st.advice.asked = now
	s.orders.Asks = append(s.orders.Asks, Ask{Step: st.id(), Executors: names, Takes: q.Decide + time.Duration(len(names))*q.Each})
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
