package owner

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
)

const (
	stateVerb = "state"
	// stateTimeout bounds a question for a job's state: a client waits for it, and
	// the board has an answer that is a little older.
	stateTimeout = 250 * time.Millisecond
)

// stateOf asks for the state of a job.
type stateOf struct {
	ID string `cbor:"1,keyasint"`
}

// State is how far a job has come, by its owner.
type State struct {
	Known bool        `cbor:"1,keyasint"`
	Queue string      `cbor:"2,keyasint,omitempty"`
	Phase model.Phase `cbor:"3,keyasint,omitempty"` // a final one is recorded
}

// State returns the owner's state of a job, and false if the owner can't be asked or
// doesn't know the job: it may be behind, or be no owner any more.
func (o *Owner) State(id string) (State, bool) {
	if t := o.current(); t != nil {
		s := t.state(id)
		return s, s.Known
	}
	var s State
	err := o.call(context.Background(), stateVerb, stateTimeout, &stateOf{ID: id}, &s)
	return s, err == nil && s.Known
}

// tellState serves other hosts' questions.
func (o *Owner) tellState(_ context.Context, s *link.Stream) error {
	var q stateOf
	if err := s.Recv(&q); err != nil {
		return err
	}
	a := State{}
	if t := o.current(); t != nil {
		a = t.state(q.ID)
	}
	return s.Send(&a)
}

// state returns what the term knows of a job. An end counts once it is recorded:
// a successor must not run the job again after clients have been told. While that is
// under way only the store knows, and another host may tell of it already.
func (t *term) state(id string) State {
	t.mu.Lock()
	queue, phase, known := t.plan.Phase(id)
	if end, ok := t.ends[id]; ok {
		phase = end
	}
	sent := t.sent[id]
	t.mu.Unlock()
	e, onBoard := t.owner.board.Job(id)
	switch {
	case onBoard && e.Phase.Final():
		return State{Known: true, Queue: e.Queue, Phase: e.Phase}
	case sent:
		return State{}
	case known:
		return State{Known: true, Queue: queue, Phase: phase}
	case onBoard:
		return State{Known: true, Queue: e.Queue, Phase: e.Phase}
	}
	return State{}
}
