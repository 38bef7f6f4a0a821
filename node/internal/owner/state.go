package owner

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	stateVerb = "state"
	// stateTimeout bounds a query for a job's state. A client waits for the result, and
	// the board has a slightly older one.
	stateTimeout = 250 * time.Millisecond
)

// stateRequest queries the state of a job.
type stateRequest struct {
	ID string `cbor:"1,keyasint"`
}

// JobState is the queue and the phase of a job, as the owner knows them.
type JobState struct {
	Known bool        `cbor:"1,keyasint"`
	Queue string      `cbor:"2,keyasint,omitempty"`
	Phase model.Phase `cbor:"3,keyasint,omitempty"` // if final, it is recorded in the store
	// Host and Prefix are the address of the queue when it accepted the job, empty if unknown.
	Host   string `cbor:"4,keyasint,omitempty"`
	Prefix string `cbor:"5,keyasint,omitempty"`
}

// State returns the owner's state of a job. It returns false if the owner can't be
// queried or doesn't know the job, for instance because it hasn't seen the job yet or
// isn't the owner any more.
func (o *Owner) State(id string) (JobState, bool) {
	if t := o.currentTerm(); t != nil {
		s := t.state(id)
		return s, s.Known
	}
	var s JobState
	err := o.callOwner(context.Background(), stateVerb, stateTimeout, &stateRequest{ID: id}, &s)
	return s, err == nil && s.Known && s.Phase.Check() == nil
}

// serveState handles state requests from other hosts.
func (o *Owner) serveState(_ context.Context, s *link.Stream) error {
	var q stateRequest
	if err := s.Recv(&q); err != nil {
		return err
	}
	a := JobState{}
	if t := o.currentTerm(); t != nil {
		a = t.state(q.ID)
	}
	return s.Send(&a)
}

// state returns the term's state of a job. A final phase is returned only once it is
// recorded, since a successor must not run the job again after clients have seen its
// end. While the write of a job's end is in flight, only the store knows whether the
// end is recorded, and other hosts may report it already; the state is unknown then. It is
// also unknown while another host may own the cell and have recorded the end, and before
// this term has read what earlier owners recorded.
func (t *term) state(id string) JobState {
	t.mu.Lock()
	spec, phase, known := t.plan.Phase(id)
	end, ended := t.recordedEnds[id]
	uncertain := !t.loaded || t.endsSent[id] || !t.certain()
	t.mu.Unlock()
	e, onBoard := t.owner.board.Job(id)
	if known {
		e.Accepted = board.AcceptedJob(spec)
	} else if onBoard {
		phase, known = e.Phase, true
	}
	state := JobState{Known: true, Queue: e.Queue, Phase: phase, Host: e.Host, Prefix: e.Prefix}
	switch {
	case onBoard && e.Phase.Final():
		state.Phase = e.Phase
	case ended && known:
		state.Phase = end
	case uncertain || !known:
		return JobState{}
	}
	return state
}
