package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestUrgentPreemptsAboveShare checks that urgent work of a team above its fair
// share preempts nothing at first, but does so after urgentPreemptDelay.
func TestUrgentPreemptsAboveShare(t *testing.T) {
	is := is.New(t)
	clock := newManualTimer()
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
	clock.Advance(urgentPreemptDelay / 2)
	is.Equal(len(s.Decide()), 0)
	clock.Advance(urgentPreemptDelay)
	got := s.Decide()
	is.Equal(len(got), 1)
	is.True(got[0].Preempt)
}

// TestPreemptionSparesWhatRunsOnce checks that a task isn't preempted if it must
// not be restarted, or if it was adopted and that isn't known.
func TestPreemptionSparesWhatRunsOnce(t *testing.T) {
	tests := map[string]struct {
		once, adopted, submitted, repeatable bool // submitted: the request is submitted after the adoption
		want                                 int
	}{
		"repeatable":               {want: 1},
		"once":                     {once: true},
		"adopted":                  {adopted: true},
		"adopted, submitted":       {adopted: true, submitted: true, want: 1},
		"adopted, submitted, once": {adopted: true, submitted: true, once: true},
		"adopted as repeatable":    {adopted: true, repeatable: true, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithTimer(newManualTimer()), WithPolicy(Policy{Aim: AimWait, Preempt: true}))
			s.Join(worker("w", 1000))
			item := batch("j", "t", 1000, 1)
			item.Once = tt.once
			task := Task{ID: "j", Team: "t", Kind: wire.Batch, Needs: wire.Needs{CPU: 1000}, Repeatable: tt.repeatable}
			if tt.adopted {
				s.Adopt("w", task)
				item.Numbers = []int{1}
			}
			if !tt.adopted || tt.submitted {
				is.NoErr(s.Submit(item))
			}
			for _, d := range s.Decide() {
				s.Started(d.ID, d.Task)
			}
			urgent := Item{ID: "urgent", Team: "t", Queue: "q", Kind: wire.Batch, Urgent: true, Needs: wire.Needs{CPU: 1000}}
			is.NoErr(s.Submit(urgent))
			is.Equal(len(s.Decide()), tt.want)
		})
	}
}
