package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A zone is cut off, or an executor is lost without a sign, while it runs tasks. Tasks that
// may have copies start elsewhere soon; others wait until its leases have ended. The first
// run to finish counts, and the other one is stopped.
func TestSilentExecutorsTasksAreCopied(t *testing.T) {
	tests := map[string]struct {
		step   model.Step
		after  time.Duration // since the executor was silent
		copies int
	}{
		"copies":             {step: model.Step{Count: 1, Need: oneCore, Copies: true}, after: copyAfterSilence, copies: 1},
		"short silence":      {step: model.Step{Count: 1, Need: oneCore, Copies: true}, after: copyAfterSilence / 2},
		"no copies":          {step: model.Step{Count: 1, Need: oneCore}, after: copyAfterSilence},
		"a gang":             {step: model.Step{Count: 1, Need: oneCore, Copies: true, Gang: true}, after: copyAfterSilence},
		"tasks that last":    {step: model.Step{Count: 1, Need: oneCore, Copies: true, Lasting: true}, after: copyAfterSilence},
		"copies, much later": {step: model.Step{Count: 1, Need: oneCore, Copies: true}, after: time.Minute, copies: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("lost")
			f.state.AddJob(epoch, f.job("j", tt.step), nil)
			first := f.state.Decide(epoch).Starts
			is.Equal(len(first), 1)
			f.confirm(epoch, first)
			f.addReady("other")
			f.state.Silent(epoch, "lost")
			now := epoch.Add(tt.after)
			var copies []Start
			for range 3 {
				now = now.Add(sweepInterval / 3)
				starts := f.state.Decide(now).Starts
				f.confirm(now, starts)
				copies = append(copies, starts...)
			}
			is.Equal(len(copies), tt.copies)
			if tt.copies == 0 {
				return
			}
			is.Equal(copies[0].Executor, "other")
			is.True(copies[0].Number > first[0].Number)
			f.end(now, copies[0], model.RunDone)
			is.Equal(f.state.Changes(1)[0].Progress.Phase, model.Done)
			now = now.Add(time.Second)
			f.state.Reported(now, "lost", Report{RequestedAt: now, Runs: []model.Run{{Task: first[0].Task, Number: first[0].Number}}})
			stops := f.state.Decide(now).Stops
			is.Equal(len(stops), 1)
			is.Equal(stops[0].Executor, "lost")
		})
	}
}

// An executor that answers again may still finish first. The copy is stopped then, and
// everything if the job is cancelled.
func TestCopiedRunMayFinishFirst(t *testing.T) {
	tests := map[string]struct {
		cancel bool
		stops  map[string]bool // executors that get a stop
		phase  model.Phase
	}{
		"finishes":  {stops: map[string]bool{"other": true}, phase: model.Done},
		"cancelled": {cancel: true, stops: map[string]bool{"lost": true, "other": true}, phase: model.Cancelled},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("lost")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore, Copies: true}), nil)
			first := f.state.Decide(epoch).Starts
			f.confirm(epoch, first)
			f.addReady("other")
			f.state.Silent(epoch, "lost")
			now := epoch.Add(time.Second)
			f.confirm(now, f.state.Decide(now).Starts)
			f.state.Reported(now, "lost", Report{RequestedAt: now, Runs: []model.Run{{Task: first[0].Task, Number: first[0].Number}}})
			is.Equal(len(f.state.Decide(now).Stops), 0) // Both go on.
			if tt.cancel {
				f.state.Cancel(now, "j")
			} else {
				f.end(now, first[0], model.RunDone)
			}
			stopped := make(map[string]bool)
			for _, o := range f.state.Decide(now).Stops {
				stopped[o.Executor] = true
			}
			is.Equal(stopped, tt.stops)
			is.Equal(f.state.Changes(1)[0].Progress.Phase, tt.phase)
		})
	}
}

// The last task of a step takes far longer than the others, on an executor that has become
// slow. A copy starts on another executor, but only while nothing else waits for room.
func TestStragglersAreCopied(t *testing.T) {
	tests := map[string]struct {
		took    time.Duration // by the last task so far; the others took a second
		backlog bool
		copies  int
	}{
		"as fast as the others": {took: 1200 * time.Millisecond},
		"far behind":            {took: 3 * time.Second, copies: 1},
		"far behind, backlog":   {took: 3 * time.Second, backlog: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("slow")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 4, Need: oneCore, Copies: true}), nil)
			starts := f.state.Decide(epoch).Starts
			is.Equal(len(starts), 4)
			f.confirm(epoch, starts)
			last := model.Run{Task: starts[3].Task, Number: starts[3].Number}
			var ends []model.End
			for i, o := range starts[:3] {
				ends = append(ends, model.End{Seq: int64(i + 1), Task: o.Task, Number: o.Number, Outcome: model.RunDone})
			}
			f.state.Reported(epoch.Add(time.Second), "slow", Report{RequestedAt: epoch.Add(time.Second), Runs: []model.Run{last}, Ends: ends})
			f.addReady("other")
			if tt.backlog {
				f.state.AddJob(epoch, f.job("huge", model.Step{Count: 1, Need: model.Amount{CPU: 99000}}), nil)
			}
			is.Equal(len(f.state.Decide(epoch.Add(time.Second)).Starts), 0)
			now := epoch.Add(tt.took - sweepInterval)
			copies := 0
			for range 3 {
				now = now.Add(sweepInterval)
				for _, o := range f.state.Decide(now).Starts {
					is.Equal(o.Executor, "other")
					copies++
				}
			}
			is.Equal(copies, tt.copies)
			is.Equal(f.state.executors["slow"].track.excess > 0, tt.copies > 0) // The run may never end.
		})
	}
}

// A successor doesn't know all runs yet, since an executor doesn't answer. Tasks that may have
// copies start all the same.
func TestCopiesStartBeforeAllRunsAreKnown(t *testing.T) {
	tests := map[string]struct {
		copies bool
		starts int
	}{
		"copies":    {copies: true, starts: 1},
		"no copies": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
			f.addExecutor("silent")
			f.addReady("other")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore, Copies: tt.copies}), &model.Progress{Phase: model.Running})
			is.Equal(len(f.state.Decide(epoch).Starts), tt.starts)
		})
	}
}
