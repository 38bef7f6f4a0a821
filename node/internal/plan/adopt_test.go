package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A successor's record may be older than the run that exists. It keeps the existing
// run and starts no further one.
func TestPresentRunGoesBeforeRecordedOne(t *testing.T) {
	task := model.Task{Job: "j"}
	recorded := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "a", Number: 1}}}}},
	}}
	failed := Report{RequestedAt: epoch.Add(time.Second), Ends: []model.End{{Seq: 1, Task: task, Number: 1, Outcome: model.RunFailed}}}
	present := Report{RequestedAt: epoch.Add(time.Second), Runs: []model.Run{{Task: task, Number: 2}}}
	tests := map[string]struct{ order []string }{
		"the existing run is reported first": {order: []string{"b", "a"}},
		"the recorded run is reported first": {order: []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), recorded)
			f.addExecutor("a")
			f.addExecutor("b")
			f.state.AllExecutorsListed(epoch)
			reports := map[string]Report{"a": failed, "b": present}
			for _, id := range tt.order {
				f.state.Reported(epoch.Add(time.Second), id, reports[id])
			}
			orders := f.state.Decide(epoch.Add(time.Second))
			is.Equal(len(orders.Starts), 0) // Run 2 is active.
			is.Equal(len(orders.Stops), 0)  // It is the current run.
		})
	}
}

// No run of a task starts while an unwanted run of it may exist.
func TestNoStartBesideUnwantedRun(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	f.confirm(epoch, starts)
	other := "a"
	if starts[0].Executor == "a" {
		other = "b"
	}
	unwanted := model.Run{Task: model.Task{Job: "j"}, Number: 7}
	f.state.Reported(epoch, other, Report{RequestedAt: epoch, Runs: []model.Run{unwanted}})
	f.end(epoch, starts[0], model.RunFailed)
	orders := f.state.Decide(epoch)
	is.Equal(len(orders.Starts), 0)
	is.Equal(len(orders.Stops), 1)
	f.state.Reported(epoch, other, Report{RequestedAt: epoch, Ends: []model.End{{Seq: 1, Task: unwanted.Task, Number: 7, Outcome: model.RunStopped}}})
	starts = f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Number, 8) // Above all earlier runs.
}
