package sched

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// TestConcurrentUse calls all methods concurrently; run with -race.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()))
	for i := range 8 {
		s.Join(worker("w"+strconv.Itoa(i), 4000))
	}
	var g errgroup.Group
	for n := range 4 {
		g.Go(func() error {
			for i := range 200 {
				id := strconv.Itoa(n) + "-" + strconv.Itoa(i)
				if err := s.Submit(batch(id, "t"+strconv.Itoa(n), 500, 2)); err != nil {
					return err
				}
				for _, d := range s.Decide() {
					s.Started(d.ID, d.Task)
					s.Used(d.ID, d.Task, d.Needs)
					s.Ended(d.ID, d.Task, true)
				}
				s.Report("w1", wire.Needs{CPU: 100})
				s.Merge(s.Summary())
				s.Expire()
				s.Free()
				s.OldestWaits()
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	for _, d := range s.Decide() {
		s.Ended(d.ID, d.Task, true)
	}
	is.Equal(s.Waiting(), 0)
	is.Equal(len(s.workers.runs), 0)
}

// TestPreemptedRoomIsKept checks that room freed for urgent work isn't given to
// other work while further victims are still being checkpointed.
func TestPreemptedRoomIsKept(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()), WithPolicy(Policy{Aim: AimWait, Preempt: true}))
	s.Join(worker("w", 2000))
	is.NoErr(s.Submit(batch("b", "t", 1000, 2)))
	for _, d := range s.Decide() {
		s.Started(d.ID, d.Task)
	}
	urgent := batch("u", "t", 2000, 1)
	urgent.Urgent = true
	is.NoErr(s.Submit(urgent))
	is.NoErr(s.Submit(batch("other", "third", 1000, 1)))
	is.Equal(len(s.Decide()), 2) // both are to be checkpointed
	s.Ended("b", 0, true)
	is.Equal(len(s.Decide()), 0)
	s.Ended("b", 1, true)
	got := s.Decide()
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, "u")
}
