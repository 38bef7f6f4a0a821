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

// TestPreemptionSparesWhatRunsOnce fills a worker with one task, which may or
// mustn't be started again, or of which nobody knows.
func TestPreemptionSparesWhatRunsOnce(t *testing.T) {
	tests := map[string]struct {
		once, found, told, repeatable bool // told: its request came after it was found
		want                          int
	}{
		"repeatable":             {want: 1},
		"once":                   {once: true},
		"found":                  {found: true},
		"found, told":            {found: true, told: true, want: 1},
		"found, told that once":  {found: true, told: true, once: true},
		"found to be repeatable": {found: true, repeatable: true, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithTimer(manual()), WithPolicy(Policy{Aim: AimWait, Preempt: true}))
			s.Join(worker("w", 1000))
			item := batch("j", "t", 1000, 1)
			item.Once = tt.once
			task := Task{ID: "j", Team: "t", Kind: wire.Batch, Needs: wire.Needs{CPU: 1000}, Repeatable: tt.repeatable}
			if tt.found {
				s.Adopt("w", task)
				item.Numbers = []int{1}
			}
			if !tt.found || tt.told {
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
