package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A task of an earlier owner may be running on an executor that this owner doesn't
// know yet. The task must not start before all executors are known and have reported.
func TestSuccessorWaitsForAllExecutors(t *testing.T) {
	tests := map[string]struct {
		listed  bool
		reports []string
		after   time.Duration
		starts  int
	}{
		"one has reported, others may be registered": {reports: []string{"a"}},
		"one of two has reported":                    {listed: true, reports: []string{"a"}},
		"both have reported":                         {listed: true, reports: []string{"a", "b"}, starts: 1},
		"settle deadline passed":                     {reports: []string{"a"}, after: settleTime, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), &model.Progress{Phase: model.Running})
			f.addExecutor("a")
			if tt.listed {
				f.addExecutor("b")
				f.state.AllExecutorsListed(epoch)
			}
			for _, id := range tt.reports {
				f.state.Reported(epoch, id, Report{RequestedAt: epoch})
			}
			is.Equal(len(f.state.Decide(epoch.Add(tt.after)).Starts), tt.starts)
		})
	}
}

// The store loses answers. The last owner can record nothing for seconds, and the registration
// of an executor that runs its tasks expires. The successor then knows neither the runs nor
// the executor, and must wait until it would have registered again.
func TestUnknownExecutorHoldsBackTasksAfterOutage(t *testing.T) {
	const reregister = 2 * time.Second
	tests := map[string]struct {
		reregister, at time.Duration
		listed         time.Duration // as of which the executors are listed
		starts         int
	}{
		"registrations didn't expire":    {at: time.Millisecond, starts: 1},
		"registrations may have expired": {reregister: reregister, at: reregister - time.Millisecond, listed: reregister - time.Millisecond},
		"it would have registered again": {reregister: reregister, at: reregister, listed: reregister, starts: 1},
		"the list is older":              {reregister: reregister, at: 2 * reregister, listed: reregister - time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)), WithReregisterDeadline(epoch.Add(tt.reregister)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), &model.Progress{Phase: model.Running})
			f.addReady("a")
			f.state.AllExecutorsListed(epoch.Add(tt.listed))
			f.state.AddJob(epoch, f.job("new", model.Step{Count: 1, Need: oneCore}), nil)
			starts := f.state.Decide(epoch.Add(tt.at)).Starts
			is.Equal(len(starts), tt.starts+1) // A new job has no runs that aren't known.
		})
	}
}

// An executor that isn't registered any more blocks only the tasks that were recorded
// on it, since it got no new work after that. If registrations may have expired
// during an outage of the store, it blocks all tasks until it would have registered
// again.
func TestUnregisteredExecutorHoldsBackOnlyItsTasks(t *testing.T) {
	const reregister = 2 * time.Second
	runOnGone := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "gone", Number: 1}}}}},
	}}
	tests := map[string]struct {
		reregister, at time.Duration
		starts         []string
	}{
		"registrations didn't expire":         {at: time.Millisecond, starts: []string{"other"}},
		"registrations may have expired":      {reregister: reregister, at: reregister / 2},
		"it would have registered again":      {reregister: reregister, at: reregister, starts: []string{"other"}},
		"its leases have ended":               {at: settleTime + time.Millisecond, starts: []string{"j", "other"}},
		"leases ended, registrations expired": {reregister: reregister, at: settleTime + time.Millisecond, starts: []string{"j", "other"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)), WithReregisterDeadline(epoch.Add(tt.reregister)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), runOnGone)
			f.state.AddJob(epoch, f.job("other", model.Step{Count: 1, Need: oneCore}), &model.Progress{})
			f.addReady("a")
			f.state.AllExecutorsListed(epoch.Add(tt.at))
			var got []string
			for _, s := range f.state.Decide(epoch.Add(tt.at)).Starts {
				got = append(got, s.Task.Job)
			}
			slices.Sort(got)
			is.Equal(got, tt.starts)
		})
	}
}

// An executor restarts, which its owner finds out later. A run may have started and ended in
// the new life by then, and a start that is on its way may still reach it. The task must not
// start elsewhere before a report of the new life has shown that it doesn't run.
func TestStartMayReachNewIncarnation(t *testing.T) {
	tests := map[string]struct {
		confirmed bool // the start was answered
		done      bool // the run has ended as done in the new life
		starts    int  // of the task after the next report
		stops     int
	}{
		"no answer to the start":           {stops: 1},
		"the run was in the old life":      {confirmed: true, starts: 1},
		"the run has ended in the new one": {confirmed: true, done: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			starts := f.state.Decide(epoch).Starts
			is.Equal(len(starts), 1)
			if tt.confirmed {
				f.confirm(epoch, starts)
			}
			f.addReady("b")
			now := epoch.Add(time.Second)
			f.state.NewIncarnation(now, "a")
			is.Equal(len(f.state.Decide(now).Starts), 0)
			now = now.Add(time.Second)
			rep := Report{RequestedAt: now}
			if tt.done {
				rep.Ends = []model.End{{Seq: 1, Task: starts[0].Task, Number: starts[0].Number, Outcome: model.RunDone}}
			}
			f.state.Reported(now, "a", rep)
			orders := f.state.Decide(now)
			is.Equal(len(orders.Starts), tt.starts)
			is.Equal(len(orders.Stops), tt.stops)
			if tt.stops == 0 {
				return
			}
			is.True(f.state.Stopped(now, orders.Stops[0])) // It can't begin any more.
			now = now.Add(time.Second)
			f.state.Reported(now, "a", Report{RequestedAt: now})
			is.Equal(len(f.state.Decide(now).Starts), 1)
		})
	}
}
