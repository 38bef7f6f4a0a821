package engine

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

var background = context.Background()

func owner(holder string, epoch uint64) point.Owner {
	return point.Owner{Holder: holder, Epoch: epoch}
}

// newWorker returns a worker with 4 CPUs, owned by p1 with epoch 5 and a term
// of 10 s.
func newWorker(t *testing.T, opts ...Option) (*Endpoint, *timer.Service) {
	t.Helper()
	s := timer.New(timer.WithManual(time.Unix(0, 0)))
	opts = append([]Option{WithTimer(s), WithCapacity(wire.Needs{CPU: 4000, Mem: 1000})}, opts...)
	e := New("w1", opts...)
	_, err := e.Open(background, point.Open{Owner: owner("p1", 5), Term: 10 * time.Second})
	is.New(t).NoErr(err)
	return e, s
}

func newStart(t *testing.T, id string, cpu int64, b Body) point.Start {
	t.Helper()
	data, err := json.Marshal(b)
	is.New(t).NoErr(err)
	return point.Start{Owner: owner("p1", 5), ID: id, Attempt: 1, Kind: wire.Batch, Team: "t",
		Needs: wire.Needs{CPU: cpu}, Lease: 10 * time.Second, Body: data}
}

func taskState(t *testing.T, e *Endpoint, id string) point.State {
	t.Helper()
	v, err := e.View(background)
	is.New(t).NoErr(err)
	for i := range v.Tasks {
		if v.Tasks[i].ID == id {
			return v.Tasks[i].State
		}
	}
	return ""
}

func countEvents(e *Endpoint, kind Kind) int {
	n := 0
	for _, ev := range e.Log().Events() {
		if ev.Event == kind {
			n++
		}
	}
	return n
}

func TestOpen(t *testing.T) {
	tests := map[string]struct {
		fence   point.Fence
		after   time.Duration // since the open of p1 with epoch 5
		release bool
		by      point.Owner
		fenced  bool
		held    bool
	}{
		"same again":                   {by: owner("p1", 5)},
		"same holder, later epoch":     {by: owner("p1", 6)},
		"same holder, earlier epoch":   {by: owner("p1", 4), fenced: true, held: true},
		"other holder within the term": {by: owner("p2", 6), fenced: true, held: true},
		"other holder, same epoch":     {after: 20 * time.Second, by: owner("p2", 5), fenced: true},
		"other holder after the term":  {after: 10 * time.Second, by: owner("p2", 6)},
		"other holder after a release": {release: true, by: owner("p2", 6)},
		"clock fence":                  {fence: point.FenceClock, by: owner("p2", 1)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var opts []Option
			if tt.fence != "" {
				opts = append(opts, WithFence(tt.fence))
			}
			e, s := newWorker(t, opts...)
			if tt.release {
				is.NoErr(e.Release(background, owner("p1", 5)))
			}
			s.Advance(tt.after)
			_, err := e.Open(background, point.Open{Owner: tt.by, Term: time.Second})
			var fenced *point.FencedError
			is.Equal(errors.As(err, &fenced), tt.fenced)
			if tt.fenced {
				is.Equal(fenced.Held, tt.held)
				is.Equal(fenced.Owner, owner("p1", 5))
				is.Equal(countEvents(e, Fenced), 1)
				return
			}
			_, err = e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Second})
			is.Equal(err == nil, tt.by == owner("p1", 5) || tt.fence == point.FenceClock)
		})
	}
}

func TestLeases(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	is.NoErr(e.Start(background, newStart(t, "kept", 1000, Body{Work: setup.Duration(time.Hour)})))
	is.NoErr(e.Start(background, newStart(t, "done", 1000, Body{Work: setup.Duration(9 * time.Second)})))
	s.Advance(8 * time.Second)
	_, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: 10 * time.Second, Lease: 10 * time.Second})
	is.NoErr(err)
	s.Advance(9 * time.Second)
	is.Equal(taskState(t, e, "kept"), point.Running)
	is.Equal(taskState(t, e, "done"), point.Done)
	s.Advance(time.Second)
	is.Equal(taskState(t, e, "kept"), point.Lapsed)
	is.Equal(countEvents(e, Lapse), 1)
	is.Equal(countEvents(e, Ended), 1)
}

// TestShorterLease checks that a renewal can shorten a lease. The owner regards
// the task as ended when the shorter lease expires.
func TestShorterLease(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	is.NoErr(e.Start(background, newStart(t, "a", 1000, Body{Work: setup.Duration(time.Hour)})))
	_, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Minute, Lease: 2 * time.Second})
	is.NoErr(err)
	s.Advance(2 * time.Second)
	is.Equal(taskState(t, e, "a"), point.Lapsed)
}

func TestNothingRunsTwice(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	in := newStart(t, "a", 1000, Body{Work: setup.Duration(time.Second)})
	is.NoErr(e.Start(background, in))
	is.NoErr(e.Start(background, in))
	s.Advance(time.Second)
	_, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Minute, Ack: 1 << 20})
	is.NoErr(err)
	is.NoErr(e.Start(background, in)) // ended and acknowledged, so no longer reported
	is.Equal(countEvents(e, Began), 1)
	is.Equal(countEvents(e, Repeated), 2)
}

func TestOverCapacity(t *testing.T) {
	tests := map[string]struct {
		strict  bool
		second  int64 // millicores of the second task, the first has 3000
		use     float64
		reason  string // of the over event, empty if the task fits
		refused bool
	}{
		"fits":                    {strict: true, second: 1000},
		"granted too much":        {strict: true, second: 1001, reason: "granted", refused: true},
		"uses too much":           {strict: true, second: 500, use: 3, reason: "used", refused: true},
		"granted too much, loose": {second: 1001, reason: "granted"},
		"uses too much, loose":    {second: 500, use: 3, reason: "used"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, _ := newWorker(t, WithStrict(tt.strict))
			is.NoErr(e.Start(background, newStart(t, "a", 3000, Body{Work: setup.Duration(time.Hour)})))
			err := e.Start(background, newStart(t, "b", tt.second, Body{Work: setup.Duration(time.Hour), Use: tt.use}))
			var refused *point.RefusedError
			is.Equal(errors.As(err, &refused), tt.refused)
			over := ""
			for _, ev := range e.Log().Events() {
				if ev.Event == OverCapacity {
					over = ev.Reason
				}
			}
			is.Equal(over, tt.reason)
			is.Equal(e.Running() == 2, !tt.refused)
		})
	}
}

func TestStop(t *testing.T) {
	tests := map[string]struct {
		mode   point.StopMode
		before time.Duration // of 2 s of work
		after  time.Duration
		want   point.State
	}{
		"stopped":                   {mode: point.ModeStop, before: time.Second, want: point.Stopped},
		"checkpointed":              {mode: point.ModeCheckpoint, before: time.Second, want: point.Saved},
		"throttled, before its end": {mode: point.ModeThrottle, before: time.Second, after: 1999 * time.Millisecond, want: point.Running},
		"throttled, at its end":     {mode: point.ModeThrottle, before: time.Second, after: 2 * time.Second, want: point.Done},
		"an end is not undone":      {mode: point.ModeStop, before: 2 * time.Second, want: point.Done},
		"an unknown mode":           {mode: "other", before: time.Second, want: point.Running},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, s := newWorker(t)
			is.NoErr(e.Start(background, newStart(t, "a", 1000, Body{Work: setup.Duration(2 * time.Second)})))
			s.Advance(tt.before)
			err := e.Stop(background, point.Stop{Owner: owner("p1", 5), ID: "a", Attempt: 1, Mode: tt.mode})
			is.Equal(err == nil, tt.mode != "other")
			s.Advance(tt.after)
			is.Equal(taskState(t, e, "a"), tt.want)
		})
	}
}

func TestUsageIsReportedLate(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t, WithUsageLag(3*time.Second))
	is.NoErr(e.Start(background, newStart(t, "a", 1000, Body{Work: setup.Duration(time.Hour), Use: 2})))
	for _, want := range []int64{0, 0, 2000} {
		s.Advance(time.Second)
		r, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Minute, Lease: time.Minute})
		is.NoErr(err)
		is.Equal(r.Reported.CPU, want)
		is.Equal(r.Tasks[0].Reported.CPU, want)
	}
}

func TestFaults(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	var lost *point.LostError

	e.SetFaults(Faults{Next: 1})
	is.True(errors.As(e.Start(background, newStart(t, "lost", 100, Body{Work: setup.Duration(time.Hour)})), &lost))
	is.Equal(taskState(t, e, "lost"), point.Running) // it took effect

	e.SetFaults(Faults{Fail: true})
	is.NoErr(e.Start(background, newStart(t, "bad", 100, Body{Work: setup.Duration(time.Hour)})))
	s.Advance(failDelay)
	is.Equal(taskState(t, e, "bad"), point.Failed)

	e.SetFaults(Faults{Cut: []string{"p1"}})
	is.True(errors.As(e.Release(background, owner("p1", 5)), &lost))
	_, err := e.View(background) // has no holder, so that Cut doesn't apply
	is.NoErr(err)

	e.SetFaults(Faults{Leaving: true, Quiet: true})
	is.NoErr(e.Start(background, newStart(t, "quiet", 100, Body{Work: setup.Duration(time.Hour)})))
	e.SetFaults(Faults{Leaving: true})
	var refused *point.RefusedError
	is.True(errors.As(e.Start(background, newStart(t, "leaving", 100, Body{})), &refused))
	is.Equal(refused.Reason, wire.ReasonLeaving)
	is.Equal(countEvents(e, Leave), 1)

	e.SetFaults(Faults{Double: true})
	r, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Minute, Lease: time.Minute})
	is.NoErr(err)
	is.Equal(len(r.Tasks), 6) // three tasks, each twice
}

// TestFreeze checks that tasks make no progress while the endpoint is frozen,
// but that their leases still expire.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	is.NoErr(e.Start(background, newStart(t, "a", 100, Body{Work: setup.Duration(4 * time.Second)})))
	is.NoErr(e.Start(background, newStart(t, "b", 100, Body{Work: setup.Duration(9 * time.Second)})))
	s.Advance(2 * time.Second)
	e.SetFaults(Faults{Freeze: true})
	s.Advance(5 * time.Second)
	is.Equal(e.Running(), 2)
	e.SetFaults(Faults{})
	s.Advance(2 * time.Second)
	is.Equal(taskState(t, e, "a"), point.Done)
	s.Advance(time.Second)
	is.Equal(taskState(t, e, "b"), point.Lapsed)
}

func TestAnswersOfTaggedTasks(t *testing.T) {
	is := is.New(t)
	e, s := newWorker(t)
	is.NoErr(e.Start(background, newStart(t, "team/x/3", 100, Body{Size: 20, Seed: 9, Tag: "mine"})))
	s.Advance(time.Second)
	v, err := e.View(background)
	is.NoErr(err)
	is.Equal(v.Tasks[0].Output, Answer("mine/3", 9, 20))
	is.Equal(e.Log().Events()[len(e.Log().Events())-1].Tag, "mine")
}

// TestLeaseEndsWhenItRunsOut guards against events between the expiry of a
// lease and its timer. A renewal, a stop or the end of the work in that gap must
// not change that the task has lapsed.
func TestLeaseEndsWhenItRunsOut(t *testing.T) {
	tests := map[string]func(e *Endpoint, s *timer.Service) error{
		"renewed": func(e *Endpoint, _ *timer.Service) error {
			_, err := e.Renew(background, point.Renew{Owner: owner("p1", 5), Term: time.Minute, Lease: time.Minute})
			return err
		},
		"stopped": func(e *Endpoint, _ *timer.Service) error {
			return e.Stop(background, point.Stop{Owner: owner("p1", 5), ID: "a", Attempt: 1, Mode: point.ModeStop})
		},
		"done": func(*Endpoint, *timer.Service) error { return nil },
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, s := newWorker(t)
			var err error
			// Set before the task's timers, so that it fires first.
			s.After(10*time.Second, func() { err = late(e, s) })
			is.NoErr(e.Start(background, newStart(t, "a", 1000, Body{Work: setup.Duration(10 * time.Second)})))
			s.Advance(10 * time.Second)
			is.NoErr(err)
			is.Equal(taskState(t, e, "a"), point.Lapsed)
			is.Equal(countEvents(e, Lapse), 1)
			is.Equal(countEvents(e, Ended), 0)
		})
	}
}
