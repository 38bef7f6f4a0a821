package plan

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// uneven is a cell of executors, one of which is odd.
type uneven struct {
	*fixture
	now    time.Time
	rounds int
}

// round runs two tasks on each executor. They take a second, and factor times as long on
// the odd executor, unless they fail there.
func (u *uneven) round(factor float64, fails bool) { u.roundWith(2, factor, fails) }

// roundWith does the same, with as many long tasks on the odd executor. That reports last, when
// the time that tasks of the step take elsewhere is known.
func (u *uneven) roundWith(long int, factor float64, fails bool) {
	u.rounds++
	id := fmt.Sprint("round", u.rounds)
	j := u.job(id, model.Step{Count: 2 * len(u.state.executors), Need: model.Amount{CPU: 16000}, Estimate: time.Second})
	j.Sent = u.now
	u.state.AddJob(u.now, j, nil)
	starts := u.state.Decide(u.now).Starts
	u.confirm(u.now, starts)
	ends := make(map[string][]model.End)
	for _, o := range starts {
		end := model.End{Task: o.Task, Number: o.Number, Outcome: model.RunDone}
		if o.Executor == "odd" && fails {
			end.Outcome = model.RunFailed
		}
		ends[o.Executor] = append(ends[o.Executor], end)
	}
	for _, executor := range slices.Sorted(maps.Keys(u.state.executors)) {
		at, done := u.now.Add(time.Second), ends[executor]
		if executor == "odd" {
			short := max(0, len(done)-long)
			u.state.Reported(at, executor, Report{RequestedAt: at, Ends: done[:short], More: true})
			at, done = u.now.Add(time.Duration(factor*float64(time.Second))), done[short:]
		}
		u.state.Reported(at, executor, Report{RequestedAt: at, Ends: done})
	}
	u.now = u.now.Add(4 * time.Second)
	u.state.Cancel(u.now, id)
}

// An executor is slow, fails everything or stops answering again and again, while its entry and
// its answers say that it is healthy. Urgent work goes there last, as long as that lasts: until
// runs there are as fast as elsewhere, the record has aged, or the executor begins another life.
func TestOddExecutorGetsUrgentWorkLast(t *testing.T) {
	repeat := func(n int, factor float64, fails bool) func(u *uneven) {
		return func(u *uneven) {
			for range n {
				u.round(factor, fails)
			}
		}
	}
	flap := func(u *uneven) {
		for range 3 {
			u.state.Silent(u.now, "odd")
			u.now = u.now.Add(time.Second)
			u.state.Reported(u.now, "odd", Report{RequestedAt: u.now})
			u.now = u.now.Add(time.Second)
		}
	}
	tests := map[string]struct {
		before, after func(u *uneven)
		last          bool
	}{
		"healthy":               {before: repeat(6, 1, false)},
		"a little slower":       {before: repeat(6, 1.15, false)},
		"one long run":          {before: func(u *uneven) { repeat(3, 1, false)(u); u.roundWith(1, 3, false) }},
		"slow":                  {before: repeat(6, 3, false), last: true},
		"fails everything":      {before: repeat(6, 1, true), last: true},
		"failed once":           {before: repeat(1, 1, true)},
		"flaps":                 {before: flap, last: true},
		"was silent once":       {before: func(u *uneven) { u.state.Silent(u.now, "odd"); repeat(1, 1, false)(u) }},
		"slow, then fast":       {before: repeat(6, 3, false), after: repeat(6, 1, false)},
		"failing, then healthy": {before: repeat(10, 1, true), after: repeat(1, 1, false)},
		"slow, a minute ago":    {before: repeat(6, 3, false), after: func(u *uneven) { u.now = u.now.Add(time.Minute) }},
		"another life": {
			before: repeat(6, 3, false), after: func(u *uneven) {
				u.state.NewIncarnation(u.now, "odd")
				u.state.Reported(u.now, "odd", Report{RequestedAt: u.now})
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &uneven{fixture: newFixture(), now: epoch}
			u.addReady("a", "b", "c", "odd")
			tt.before(u)
			if tt.last {
				is.Equal(u.state.CountSlow(u.now), 1)
			}
			if tt.after != nil {
				tt.after(u)
			}
			u.now = u.now.Add(faultyBackoff)
			is.Equal(u.state.CountSlow(u.now) == 1, tt.last)
			// Three executors are full before the odd one gets work, or not.
			for i := range 7 {
				u.state.AddJob(u.now, u.job(fmt.Sprint("urgent", i), model.Step{Count: 1, Need: model.Amount{CPU: 16000}}), nil)
			}
			odd := 0
			for i, o := range u.state.Decide(u.now).Starts {
				if o.Executor == "odd" {
					odd++
					is.True(!tt.last || i >= 6)
				}
			}
			is.Equal(odd > 0, true)
		})
	}
}

// Where a step of an urgent job would fit into one zone only with slow executors, it goes to
// another zone, and beyond what the others hold to the slow ones as well. The adviser is asked
// about the other zone first.
func TestZoneOfSlowExecutors(t *testing.T) {
	tests := map[string]struct {
		tasks int
		queue string
		slow  []string
		used  int // slow executors that get work, or that the adviser is asked about
	}{
		"fit elsewhere":    {tasks: 6, queue: "urgent", slow: []string{"z0-0"}},
		"fit nowhere else": {tasks: 11, queue: "urgent", slow: []string{"z0-0"}, used: 1},
		"not urgent":       {tasks: 12, queue: "bulk", slow: []string{"z0-0"}, used: 2},
		"advised":          {tasks: 1, queue: "quick", slow: []string{"z0-0", "z0-1", "z0-2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range 4 { // The order of zones differs from job to job.
				f := newFixture()
				f.addZones(2, 3) // Two tasks fit on each executor.
				for _, id := range tt.slow {
					f.state.executors[id].track, f.state.executors[id].odd = track{excess: 0.6, at: epoch}, true
				}
				j := f.job(fmt.Sprint("j", i), model.Step{Count: tt.tasks, Need: model.Amount{CPU: 16000}})
				j.Queue = tt.queue
				f.state.AddJob(epoch, j, nil)
				orders := f.state.Decide(epoch)
				var used []string
				for _, o := range orders.Starts {
					used = append(used, o.Executor)
				}
				for _, q := range orders.AdviceRequests {
					used = append(used, q.Executors[:2]...)
				}
				is.True(len(used) > 0)
				used = slices.DeleteFunc(used, func(id string) bool { return !slices.Contains(tt.slow, id) })
				is.Equal(len(used), tt.used)
			}
		})
	}
}

// A task that had far more to do than the others of its step doesn't make its executor count as
// slow, and neither does one failure; two do.
func TestOneRunSaysLittle(t *testing.T) {
	is := is.New(t)
	for n := range 3 {
		var slow, failing track
		for range n {
			slow.noteTime(100, epoch)
			failing.noteResult(true, epoch)
		}
		is.Equal(slow.slowdown(epoch) > 1, n == 2)
		is.Equal(failing.slowdown(epoch) > 1, n == 2)
	}
}

// The link to a zone flaps. Urgent work goes to the other zone while there is room, and to the executors behind the link
// beyond that, since they answer. They count as healthy again a while after.
func TestLinkThatFlapsMovesUrgentWork(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addZones(2, 3) // Two tasks fit on each executor.
	now := epoch
	for range 3 {
		for i := range 3 {
			f.state.Silent(now, fmt.Sprint("z0-", i))
		}
		now = now.Add(time.Second)
		for i := range 3 {
			f.state.Reported(now, fmt.Sprint("z0-", i), Report{RequestedAt: now})
		}
	}
	is.Equal(f.state.CountSlow(now), 3)
	for i, zone := range []string{"z1", "z0"} {
		f.state.AddJob(now, f.job(fmt.Sprint("j", i), model.Step{Count: 6, Need: model.Amount{CPU: 16000}}), nil)
		starts := f.state.Decide(now).Starts
		is.Equal(len(starts), 6)
		for _, o := range starts {
			is.Equal(f.state.executors[o.Executor].info.Zone, zone)
		}
	}
	is.Equal(f.state.CountSlow(now.Add(time.Minute)), 0)
}

// The store is away, so that starts are held back, while runs end. The record of a slow executor goes on, nothing is
// stopped or copied meanwhile, and a run that lapsed goes on from its checkpoint on another executor afterwards.
func TestRecordsGoOnWhileStartsAreHeldBack(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b", "c", "odd")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 8, Need: model.Amount{CPU: 16000}, Estimate: time.Second, Checkpoints: true, Copies: true}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 8)
	f.confirm(epoch, starts)
	f.state.Pause(true)
	ends := make(map[string][]model.End)
	for _, o := range starts {
		end := model.End{Task: o.Task, Number: o.Number, Outcome: model.RunDone}
		if o.Executor == "b" && len(ends["b"]) == 0 {
			end.Outcome, end.Checkpoint = model.RunLapsed, "saved"
		}
		ends[o.Executor] = append(ends[o.Executor], end)
	}
	for tenths := 1; tenths <= 30; tenths++ {
		now := epoch.Add(time.Duration(tenths) * 100 * time.Millisecond)
		for id, at := range map[string]int{"a": 10, "b": 10, "c": 10, "odd": 30} {
			if at == tenths {
				f.state.Reported(now, id, Report{RequestedAt: now, Ends: ends[id]})
			}
		}
		orders := f.state.Decide(now)
		is.Equal(len(orders.Starts)+len(orders.Stops), 0)
	}
	now := epoch.Add(3 * time.Second)
	is.Equal(f.state.CountSlow(now), 1)
	is.Equal(len(f.state.TakeWasted()), 0) // Its checkpoint was saved.
	f.state.Pause(false)
	starts = f.state.Decide(now).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Checkpoint, "saved")
	is.True(starts[0].Executor != "odd")
}
