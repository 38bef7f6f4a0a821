package sched

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

func newManualTimer() *timer.Service { return timer.New(timer.WithManual(time.Unix(0, 0))) }

func worker(name string, cpu int64) Endpoint {
	return Endpoint{Name: name, Kind: point.Worker, Zone: "a", Rack: "r", Capacity: wire.Needs{CPU: cpu}}
}

func batch(id, team string, cpu int64, tasks int) Item {
	return Item{ID: id, Team: team, Queue: "q", Kind: wire.Batch, Needs: wire.Needs{CPU: cpu}, Tasks: tasks}
}

func gang(id, team string, cpu int64, tasks int) Item {
	item := batch(id, team, cpu, tasks)
	item.Kind = wire.Gang
	return item
}

func TestRefused(t *testing.T) {
	clock := newManualTimer()
	tests := map[string]struct {
		item   Item
		reason string
	}{
		"too large":      {batch("j", "t", 5000, 1), wire.ReasonNever},
		"gang too large": {gang("j", "t", 4000, 3), wire.ReasonNever},
		"late":           {Item{ID: "j", Kind: wire.Batch, Deadline: clock.Now()}, wire.ReasonDeadline},
		"queue full":     {Item{ID: "j", Queue: "full", Kind: wire.Batch}, wire.ReasonBusy},
		"known":          {batch("known", "t", 1, 1), wire.ReasonDuplicate},
		"no endpoint":    {Item{ID: "j", Kind: wire.Quick}, wire.ReasonBusy},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithTimer(clock), WithPolicy(Policy{Queues: map[string]Queue{"full": {Bound: 1}}}))
			s.Join(worker("w1", 4000))
			s.Join(worker("w2", 4000))
			is.NoErr(s.Submit(batch("known", "t", 1, 1)))
			is.NoErr(s.Submit(Item{ID: "first", Queue: "full", Kind: wire.Batch}))
			err := s.Submit(tt.item)
			var refused *RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, tt.reason)
			is.True(refused.Detail != "")
		})
	}
}

func TestTaskLifecycle(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()))
	s.Join(worker("w", 1000))
	is.NoErr(s.Submit(batch("j", "t", 1000, 2)))
	first := s.Decide()
	is.Equal(len(first), 1)
	is.Equal(first[0], Decision{ID: "j", Endpoint: "w", Needs: wire.Needs{CPU: 1000}, Kind: wire.Batch})
	is.Equal(len(s.Decide()), 0) // the outcome is unknown, so the room stays allocated
	s.Unsent("j", 0)
	again := s.Decide()
	is.Equal(len(again), 1)
	s.Started("j", again[0].Task)
	s.Ended("j", again[0].Task, true)
	last := s.Decide()
	is.Equal(len(last), 1)
	is.True(last[0].Task != again[0].Task)
	is.True(!s.Cancel("j")) // one is running
	s.Ended("j", last[0].Task, true)
	is.Equal(s.Waiting(), 0)
	is.Equal(len(s.workers.entries), 0)
}

func TestCancelQueued(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()))
	s.Join(worker("w", 1000))
	for i := range 3 {
		is.NoErr(s.Submit(batch(strconv.Itoa(i), "t", 600, 1)))
	}
	is.Equal(len(s.Decide()), 1)
	is.True(!s.Cancel("0"))
	is.True(s.Cancel("1"))
	is.True(!s.Cancel("1"))
	s.Ended("0", 0, true)
	got := s.Decide()
	is.Equal(len(got), 1)
	is.Equal(got[0].ID, "2")
}

func TestGangAllOrNothing(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()))
	s.Join(worker("w1", 1000))
	s.Join(worker("w2", 1000))
	is.NoErr(s.Submit(batch("b", "t", 1000, 1)))
	is.Equal(len(s.Decide()), 1)
	is.NoErr(s.Submit(gang("g", "t", 1000, 2)))
	is.Equal(len(s.Decide()), 0)
	s.Ended("b", 0, true)
	is.Equal(len(s.Decide()), 2)
	s.Unsent("g", 0)
	is.Equal(len(s.Decide()), 0) // the other member still holds its room
	s.Ended("g", 1, false)
	got := s.Decide()
	is.Equal(len(got), 2)
	is.Equal(got[0].Attempt, uint32(1))
}

func TestExpire(t *testing.T) {
	is := is.New(t)
	clock := newManualTimer()
	s := New(WithTimer(clock))
	s.Join(worker("w", 1000))
	item := batch("j", "t", 1000, 2)
	item.Deadline = clock.Now().Add(time.Second)
	is.NoErr(s.Submit(item))
	is.Equal(len(s.Decide()), 1)
	is.Equal(len(s.Expire()), 0)
	clock.Advance(time.Second)
	got := s.Expire()
	is.Equal(len(got), 1)
	is.Equal(got[0].Numbers, []int{1})
}

func TestAdopt(t *testing.T) {
	is := is.New(t)
	s := New(WithTimer(newManualTimer()))
	s.Join(worker("w", 1000))
	s.Adopt("w", Task{ID: "old", Team: "t", Kind: wire.Batch, Needs: wire.Needs{CPU: 800}})
	is.NoErr(s.Submit(batch("j", "t", 500, 1)))
	is.Equal(len(s.Decide()), 0)
	s.Ended("old", 0, true)
	is.Equal(len(s.Decide()), 1)
}
