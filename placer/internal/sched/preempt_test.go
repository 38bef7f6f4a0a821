package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestUrgentPreemptsAboveShare is the case that a team above its share has
// urgent work and no room is free. Nothing is checkpointed for it at first; but
// it starts in time.
func TestUrgentPreemptsAboveShare(t *testing.T) {
	is := is.New(t)
	clock := manual()
	s := New(WithTimer(clock), WithPolicy(Policy{Preempt: true}))
	s.Join(worker("w", 4000))
	is.NoErr(s.Submit(batch("most", "greedy", 1000, 3)))
	is.NoErr(s.Submit(batch("rest", "other", 1000, 1)))
	for _, d := range s.Decide() {
		s.Started(d.ID, d.Task)
	}
	urgent := Item{ID: "urgent", Team: "greedy", Queue: "q", Kind: wire.Batch, Urgent: true, Needs: wire.Needs{CPU: 1000}}
	is.NoErr(s.Submit(urgent))
	is.Equal(len(s.Decide()), 0)
	clock.Advance(urgentPatience / 2)
	is.Equal(len(s.Decide()), 0)
	clock.Advance(urgentPatience)
	got := s.Decide()
	is.Equal(len(got), 1)
	is.True(got[0].Preempt)
}
