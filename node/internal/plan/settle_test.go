package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A task of an earlier owner may run on an executor that this owner hasn't even
// heard of: it must not start before all executors are known and have reported.
func TestSuccessorWaitsForAllExecutors(t *testing.T) {
	tests := map[string]struct {
		complete bool
		reports  []string
		after    time.Duration
		starts   int
	}{
		"one has reported, the list isn't complete": {reports: []string{"a"}},
		"one of two has reported":                   {complete: true, reports: []string{"a"}},
		"both have reported":                        {complete: true, reports: []string{"a", "b"}, starts: 1},
		"the time is up":                            {reports: []string{"a"}, after: settleTime, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettle(epoch.Add(settleTime)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), &model.Progress{Phase: model.Running})
			f.addExecutor("a")
			if tt.complete {
				f.addExecutor("b")
				f.state.Complete()
			}
			for _, id := range tt.reports {
				f.state.Reported(epoch, id, Report{Asked: epoch})
			}
			is.Equal(len(f.state.Decide(epoch.Add(tt.after)).Starts), tt.starts)
		})
	}
}

// An executor that has left doesn't hold back the tasks of earlier owners, but for
// those that were recorded on it: it got no new work since it lost its entry. If
// entries may have lapsed with the store, it holds back all until it would be
// back.
func TestUnregisteredExecutorHoldsBackOnlyItsTasks(t *testing.T) {
	const relist = 2 * time.Second
	runOnGone := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "gone", Number: 1}}}}},
	}}
	tests := map[string]struct {
		relist, at time.Duration
		starts     []string
	}{
		"at once":                     {at: time.Millisecond, starts: []string{"other"}},
		"entries may have lapsed":     {relist: relist, at: relist / 2},
		"they would be back":          {relist: relist, at: relist, starts: []string{"other"}},
		"nothing can run there":       {at: settleTime + time.Millisecond, starts: []string{"j", "other"}},
		"nothing can, entries lapsed": {relist: relist, at: settleTime + time.Millisecond, starts: []string{"j", "other"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettle(epoch.Add(settleTime)), WithRelist(epoch.Add(tt.relist)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), runOnGone)
			f.state.AddJob(epoch, f.job("other", model.Step{Count: 1, Need: oneCore}), &model.Progress{})
			f.addReady("a")
			var got []string
			for _, s := range f.state.Decide(epoch.Add(tt.at)).Starts {
				got = append(got, s.Task.Job)
			}
			slices.Sort(got)
			is.Equal(got, tt.starts)
		})
	}
}
