package plan

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A zone in which the previous owner recorded each run before it started it blocks
// only the tasks that are recorded there, even if none of its executors answers.
func TestWriteAheadZoneHoldsBackOnlyItsTasks(t *testing.T) {
	runOnCut := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "cut", Number: 1}}}}},
	}}
	tests := map[string]struct {
		writeAhead string
		progress   *model.Progress
		starts     int
	}{
		"no zone":                      {progress: &model.Progress{Phase: model.Running}},
		"another zone":                 {writeAhead: "here", progress: &model.Progress{Phase: model.Running}},
		"the unreachable zone":         {writeAhead: "there", progress: &model.Progress{Phase: model.Running}, starts: 1},
		"the task was recorded there":  {writeAhead: "there", progress: runOnCut},
		"an unwanted run was recorded": {writeAhead: "there", progress: unwantedRunOn("cut")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)), WithWriteAheadZone(tt.writeAhead))
			f.state.SetExecutor(model.Executor{ID: "cut", Service: "s", Zone: "there", Room: fullExecutor})
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), tt.progress)
			is.True(!f.state.ZoneRunsKnown("there"))
			is.True(f.state.ZoneRunsKnown("elsewhere"))
			is.Equal(len(f.state.Decide(epoch).Starts), tt.starts)
		})
	}
}

// unwantedRunOn returns progress with an unwanted run on an executor.
func unwantedRunOn(id string) *model.Progress {
	return &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Spares: map[int][]model.Place{0: {{Executor: id, Number: 1}}}}}},
	}}
}

// The recorded progress has all runs that may exist, also those that are being
// stopped and those that are unwanted.
func TestAllPresentRunsAreRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	first := starts[0]
	f.confirm(epoch, starts)
	recorded := func() model.Stage { return f.state.Changes(1)[0].Progress.Occurs[0].Stages[0] }
	is.Equal(recorded().Runs[0], model.Place{Executor: first.Executor, Number: first.Number})
	is.Equal(first.Version <= f.state.Changes(1)[0].Version, true)
	f.state.stopRun(f.state.find(first.Executor, first.Task, first.Number), epoch)
	is.Equal(recorded().Runs[0].Executor, first.Executor)

	other := map[string]string{"a": "b", "b": "a"}[first.Executor]
	f.state.Reported(epoch, other, Report{RequestedAt: epoch, Runs: []model.Run{{Task: first.Task, Number: 7}}})
	is.Equal(recorded().Spares[0], []model.Place{{Executor: other, Number: 7}})

	restored := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
	restored.addReady(first.Executor)
	restored.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), f.state.Changes(1)[0].Progress)
	is.Equal(len(restored.state.stageOf(first.Task).tasks[0].unwanted), 1)
	restored.addExecutor(other)
	restored.state.Reported(epoch, other, Report{RequestedAt: epoch, Runs: []model.Run{{Task: first.Task, Number: 7}}})
	is.Equal(restored.state.Decide(epoch).Stops, []Stop{{Task: first.Task, Number: 7, Executor: other}}) // It is still unwanted.
}

// A run that is known to be gone is removed from the record, so that the next owner
// doesn't wait for its executor.
func TestGoneRunIsNotRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore, Lasting: true}), nil)
	f.confirm(epoch, f.state.Decide(epoch).Starts)
	for _, c := range f.state.Changes(9) {
		f.state.Recorded(c)
	}
	is.Equal(len(f.state.Changes(9)), 0)
	f.state.RemoveExecutor("a")
	changes := f.state.Changes(9)
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].Progress.Occurs[0].Stages[0].Runs), 0)
}
