package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A run of two cores ends after ten seconds for one of many reasons, and its last checkpoint was
// reported after six, if any. What was done since is counted once, under the reason.
func TestWastedWork(t *testing.T) {
	const second = 2000 // core-milliseconds
	ended := func(how model.Outcome, checkpoint string) func(*fixture, Start, time.Time) {
		return func(f *fixture, o Start, now time.Time) {
			f.state.Reported(now, o.Executor, Report{RequestedAt: now, Ends: []model.End{{Task: o.Task, Number: o.Number, Outcome: how, Checkpoint: checkpoint}}})
		}
	}
	lost := func(f *fixture, o Start, now time.Time) {
		f.state.Silent(now, o.Executor)
		f.state.RemoveRuns(o.Executor)
		ended(model.RunLapsed, "")(f, o, now.Add(time.Hour)) // It wasn't lost.
	}
	tests := map[string]struct {
		step        model.Step
		checkpoint  bool
		unconfirmed bool
		end         func(f *fixture, o Start, now time.Time)
		want        map[Waste]int64
	}{
		"done":                  {end: ended(model.RunDone, "")},
		"failed":                {end: ended(model.RunFailed, "")},
		"lapsed":                {end: ended(model.RunLapsed, ""), want: map[Waste]int64{WastedLapsed: 10 * second}},
		"lapsed, checkpoint":    {checkpoint: true, end: ended(model.RunLapsed, "first"), want: map[Waste]int64{WastedLapsed: 4 * second}},
		"stopped":               {end: ended(model.RunStopped, ""), want: map[Waste]int64{WastedStop: 10 * second}},
		"stopped, unsaved":      {checkpoint: true, end: ended(model.RunStopped, "first"), want: map[Waste]int64{WastedStop: 4 * second}},
		"stopped, saved":        {checkpoint: true, end: ended(model.RunStopped, "second")},
		"member broke off":      {step: model.Step{Gang: true}, end: ended(model.RunBroken, ""), want: map[Waste]int64{WastedGang: 10 * second}},
		"members never came":    {step: model.Step{Gang: true}, end: ended(model.RunAlone, ""), want: map[Waste]int64{WastedGang: 10 * second}},
		"lasting":               {step: model.Step{Lasting: true}, end: ended(model.RunStopped, "")},
		"executor lost":         {end: lost, want: map[Waste]int64{WastedLost: 10 * second}},
		"executor lost, unsure": {unconfirmed: true, end: lost},
		"another life": {
			end: func(f *fixture, o Start, now time.Time) {
				f.state.NewIncarnation(now.Add(-time.Second), o.Executor)
				f.state.Reported(now, o.Executor, Report{RequestedAt: now})
			},
			want: map[Waste]int64{WastedLost: 10 * second},
		},
		"cancelled": {
			end: func(f *fixture, o Start, now time.Time) {
				f.state.Cancel(now, "j")
				ended(model.RunStopped, "")(f, o, now)
			},
		},
		"copy is faster": {
			step: model.Step{Copies: true},
			end: func(f *fixture, o Start, now time.Time) {
				f.addReady("other")
				f.state.Silent(now.Add(-time.Second), "e")
				for _, second := range f.state.Decide(now).Starts {
					f.confirm(now, []Start{second})
					ended(model.RunDone, "")(f, second, now)
				}
				ended(model.RunStopped, "")(f, o, now)
			},
			want: map[Waste]int64{WastedCopy: 10 * second},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("e")
			tt.step.Count, tt.step.Need = 1, model.Amount{CPU: 2000}
			f.state.AddJob(epoch, f.job("j", tt.step), nil)
			starts := f.state.Decide(epoch).Starts
			is.Equal(len(starts), 1)
			if !tt.unconfirmed {
				f.confirm(epoch, starts)
			}
			if tt.checkpoint {
				at := epoch.Add(6 * time.Second)
				f.state.Reported(at, "e", Report{RequestedAt: at, Runs: []model.Run{{Task: starts[0].Task, Number: 1, Percent: 1, Checkpoint: "first"}}})
			}
			tt.end(f, starts[0], epoch.Add(10*time.Second))
			if tt.want == nil {
				tt.want = make(map[Waste]int64)
			}
			is.Equal(f.state.TakeWasted(), tt.want)
			is.Equal(len(f.state.TakeWasted()), 0)
		})
	}
}

// The owner is killed while a run goes on, and then the run's executor is lost. The successor knows the run from the record and
// the checkpoint from a report. It counts what was done since then, once, and the task goes on from there.
func TestSuccessorAfterKillKeepsCheckpoint(t *testing.T) {
	is := is.New(t)
	killed := newFixture()
	killed.addReady("e")
	step := model.Step{Count: 1, Need: model.Amount{CPU: 2000}, Checkpoints: true}
	killed.state.AddJob(epoch, killed.job("j", step), nil)
	starts := killed.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	killed.confirm(epoch, starts)
	recorded := killed.state.Changes(1)[0].Progress

	f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
	f.state.AddJob(epoch, f.job("j", step), recorded)
	f.addReady("other")
	f.addExecutor("e")
	at := epoch.Add(6 * time.Second)
	f.state.Reported(at, "e", Report{RequestedAt: at, Runs: []model.Run{{Task: starts[0].Task, Number: starts[0].Number, Percent: 1, Checkpoint: "saved"}}})
	is.Equal(len(f.state.Decide(at).Starts), 0)
	at = at.Add(4 * time.Second)
	f.state.Silent(at, "e")
	f.state.RemoveRuns("e")
	is.Equal(f.state.TakeWasted(), map[Waste]int64{WastedLost: 4 * 2000})
	again := f.state.Decide(at).Starts
	is.Equal(len(again), 1)
	is.Equal(again[0].Executor, "other")
	is.Equal(again[0].Checkpoint, "saved")
}
