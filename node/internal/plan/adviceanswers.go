package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// AdviceAnswers has what an owner knows from the adviser, for its successor. It has ages instead of
// times, since the hosts' clocks differ.
type AdviceAnswers struct {
	Executors []AnsweredExecutor `cbor:"1,keyasint,omitempty"`
	Stages    []StageAnswers     `cbor:"2,keyasint,omitempty"`
	Shares    []QueueShare       `cbor:"3,keyasint,omitempty"`
}

// AnsweredExecutor is an executor in one incarnation.
type AnsweredExecutor struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // start of the incarnation in Unix nanoseconds, by its own clock
}

// StageAnswers has the answers for one stage. Executors are named by their index in AdviceAnswers.
type StageAnswers struct {
	Job     string         `cbor:"1,keyasint"`
	Occur   int            `cbor:"2,keyasint,omitempty"`
	Step    int            `cbor:"3,keyasint,omitempty"`
	Advised bool           `cbor:"4,keyasint,omitempty"` // by the configuration of the owner
	Allowed []byte         `cbor:"5,keyasint,omitempty"` // bits of the executors that are allowed
	Denied  []byte         `cbor:"6,keyasint,omitempty"` // bits of the others that the adviser has answered for
	Tickets []AnswerTicket `cbor:"7,keyasint,omitempty"` // that are valid
	Review  time.Duration  `cbor:"8,keyasint,omitempty"` // after which the denials may be forgotten
}

// AnswerTicket is a ticket that is valid.
type AnswerTicket struct {
	Executor int           `cbor:"1,keyasint"`
	Text     string        `cbor:"2,keyasint"`
	Left     time.Duration `cbor:"3,keyasint"` // for which it may be used
}

// QueueShare is what is learned of the share that the adviser of a queue allows.
type QueueShare struct {
	Queue   string  `cbor:"1,keyasint"`
	Named   float64 `cbor:"2,keyasint"`
	Allowed float64 `cbor:"3,keyasint"`
}

// AdviceAnswers returns the adviser's answers that are known at now for stages that aren't done.
// Answers for executors whose incarnation isn't known are left out.
func (s *State) AdviceAnswers(now time.Time) *AdviceAnswers {
	out := &AdviceAnswers{}
	index := make(map[string]int)
	for _, id := range slices.Sorted(maps.Keys(s.executors)) {
		if e := s.executors[id]; e.lifeKnown {
			index[id] = len(out.Executors)
			out.Executors = append(out.Executors, AnsweredExecutor{ID: id, Born: e.info.Born.UnixNano()})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.phase.Final() {
			continue
		}
		for _, k := range slices.Sorted(maps.Keys(j.occurs)) {
			out.addOccur(s, j.occurs[k], index, now)
		}
		if j.coming != nil && j.coming.number == j.next {
			out.addOccur(s, j.coming, index, now)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.allowedShares)) {
		a := s.allowedShares[name]
		out.Shares = append(out.Shares, QueueShare{Queue: name, Named: a.named, Allowed: a.allowed})
	}
	return out
}

// addOccur adds the answers for the stages of an occurrence.
func (a *AdviceAnswers) addOccur(s *State, o *occurrence, index map[string]int, now time.Time) {
	for _, st := range o.stages {
		if x := s.stageAnswers(st, index, now); st.unfinished > 0 && len(x.Allowed)+len(x.Denied) > 0 {
			a.Stages = append(a.Stages, x)
		}
	}
}

// stageAnswers returns the answers for a stage. index has the indexes of the executors.
func (s *State) stageAnswers(st *stage, index map[string]int, now time.Time) StageAnswers {
	out := StageAnswers{Job: st.occur.job.spec.ID, Occur: st.occur.number, Step: st.index, Advised: st.occur.job.queue.Advised}
	for _, id := range slices.Sorted(maps.Keys(st.advice.tickets)) {
		i, known := index[id]
		if !known {
			continue
		}
		t, ok := st.advice.ticketFor(s.executors[id])
		switch {
		case !ok:
		case !t.allowed:
			out.Denied = setBit(out.Denied, i)
		default:
			out.Allowed = setBit(out.Allowed, i)
			if left := t.usableUntil.Sub(now); left > 0 {
				out.Tickets = append(out.Tickets, AnswerTicket{Executor: i, Text: t.text, Left: left})
			}
		}
	}
	if !st.advice.reviewAt.IsZero() {
		out.Review = max(0, st.advice.reviewAt.Sub(now))
	}
	return out
}

// AddAdviceAnswers adds what an earlier owner knew age ago, at least. The jobs and executors must have
// been added before. It ignores what doesn't fit to them: answers for stages or executors that
// aren't known or for another incarnation, denials if the hint of the queue has come or gone, and
// whatever is known here already.
func (s *State) AddAdviceAnswers(now time.Time, a *AdviceAnswers, age time.Duration) {
	s.decision++ // An executor whose next incarnation is found out after this makes the answers void.
	executors := make([]*executor, len(a.Executors))
	for i, x := range a.Executors {
		if e := s.executors[x.ID]; e != nil && e.lifeKnown && e.info.Born.UnixNano() == x.Born {
			executors[i] = e
		}
	}
	for i := range a.Stages {
		x := &a.Stages[i]
		if st := s.answeredStage(x); st != nil {
			s.addStageAnswers(st, x, executors, now, age)
		}
	}
	for _, x := range a.Shares {
		if s.allowedShares[x.Queue] == nil && x.Allowed >= 0 && x.Allowed <= x.Named {
			s.allowedShare(x.Queue).named, s.allowedShare(x.Queue).allowed = x.Named, x.Allowed
		}
	}
}

// answeredStage returns the stage that answers are for, nil if there is none. The adviser may have been
// asked ahead about the next occurrence of a job.
func (s *State) answeredStage(a *StageAnswers) *stage {
	if st := s.stageOf(model.Task{Job: a.Job, Occur: a.Occur, Step: a.Step}); st != nil {
		return st
	}
	j := s.jobs[a.Job]
	if j == nil || j.phase.Final() || j.occurs[a.Occur] != nil || j.ahead[a.Occur] || a.Occur != j.next || a.Occur >= j.spec.Occurrences() || a.Step < 0 || a.Step >= len(j.spec.Steps) {
		return nil
	}
	if j.coming == nil || j.coming.number != j.next {
		j.coming = newOccurrence(j, j.next)
	}
	return j.coming.stages[a.Step]
}

// addStageAnswers adds the answers for a stage.
func (s *State) addStageAnswers(st *stage, a *StageAnswers, executors []*executor, now time.Time, age time.Duration) {
	add := func(e *executor, t ticket) {
		if _, known := st.advice.ticketFor(e); known {
			return
		}
		t.decision = s.decision
		st.advice.setTicket(e.info.ID, t)
	}
	for _, t := range a.Tickets {
		if t.Executor >= 0 && t.Executor < len(executors) && executors[t.Executor] != nil && t.Left > age {
			add(executors[t.Executor], ticket{allowed: true, text: t.Text, usableUntil: now.Add(t.Left - age)})
		}
	}
	sameHint := a.Advised == st.occur.job.queue.Advised
	for i, e := range executors {
		switch {
		case e == nil:
		case hasBit(a.Allowed, i):
			add(e, ticket{allowed: true})
		case hasBit(a.Denied, i) && sameHint:
			add(e, ticket{})
			if st.advice.reviewAt.IsZero() {
				st.advice.reviewAt = now.Add(max(0, min(a.Review, denialReviewInterval)-age))
			}
		}
	}
}

// setBit sets bit i and returns the bits, which grow as needed.
func setBit(bits []byte, i int) []byte {
	for len(bits) <= i/8 {
		bits = append(bits, 0)
	}
	bits[i/8] |= 1 << (i % 8)
	return bits
}

// hasBit reports whether bit i is set.
func hasBit(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }
