package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// bulk returns a job in the bulk queue.
func (f *fixture) bulk(id, team string, steps ...model.Step) *model.Job {
	j := f.job(id, steps...)
	j.Queue, j.Team = "bulk", team
	return j
}

// Bursts of urgent work find headroom under their team's limit, even if the team has
// enough bulk work waiting to fill it.
func TestUrgentWorkKeepsHeadroom(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	urgent := f.job("u1", model.Step{Count: 2, Need: oneCore})
	urgent.Team = "capped"
	f.state.AddJob(epoch, urgent, nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 2) // The limit allows 4.
	f.confirm(epoch, starts)
	f.state.AddJob(epoch, f.bulk("b", "capped", model.Step{Count: 9, Need: oneCore}), nil)
	is.Equal(len(f.state.Decide(epoch).Starts), 2)
	for i, o := range starts {
		f.state.Reported(epoch, "a", Report{RequestedAt: epoch, Ends: []model.End{{Seq: int64(i + 1), Task: o.Task, Number: 1, Outcome: model.RunDone}}, More: true})
	}
	is.Equal(len(f.state.Decide(epoch).Starts), 0) // The rest is reserved for the next burst.
	is.Equal(len(f.state.Decide(epoch.Add(10*reserveDecay)).Starts), 2)
}

// Many long requests to the adviser leave slots for short ones, and the most urgent
// stage gets the first slot.
func TestShortRequestsPassLongOnes(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.SetAdviceSlots(4)
	for i := range 8 {
		j := f.job(fmt.Sprintf("long%d", i), model.Step{Count: 4, Need: oneCore})
		j.Queue = "advised"
		f.state.AddJob(epoch, j, nil)
	}
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 3) // A quarter of the four slots is reserved.
	quick := f.job("quick", model.Step{Count: 1, Need: oneCore})
	quick.Queue = "quick"
	f.state.AddJob(epoch, quick, nil)
	requests = f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Step.Job, "quick")
	f.state.AdviceReceived(epoch, requests[0], map[string]string{"b": "ticket"}, time.Second)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Executor, "b")
	is.Equal(starts[0].Ticket, "ticket")
}

// If a step spreads its tasks, allowed executors that have one already don't keep it
// from requesting others.
func TestSpreadTasksRequestMoreExecutors(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	j := f.job("j", model.Step{Count: 2, Need: oneCore, Spread: 1})
	j.Queue = "quick"
	f.state.AddJob(epoch, j, nil)
	first := f.state.Decide(epoch).AdviceRequests[0]
	f.state.AdviceReceived(epoch, first, map[string]string{"a": "ticket"}, time.Second)
	is.Equal(len(f.state.Decide(epoch).Starts), 1)
	f.addReady("b")
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Executors, []string{"b"})
}

// A gang starts all its members or none, under one run number, and restarts all of
// them if one fails.
func TestGangStartsWhole(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	half := model.Amount{CPU: 20000, Memory: 1000}
	f.state.AddJob(epoch, f.job("g", model.Step{Count: 2, Need: half, Gang: true}), nil)
	is.Equal(len(f.state.Decide(epoch).Starts), 0)
	f.addReady("b")
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Number, starts[1].Number)
	f.confirm(epoch, starts)
	f.end(epoch, starts[0], model.RunFailed)
	orders := f.state.Decide(epoch)
	is.Equal(len(orders.Starts), 0) // The other member still runs.
	is.Equal(len(orders.Stops), 1)
	f.end(epoch, starts[1], model.RunBroken)
	starts = f.state.Decide(epoch).Starts
	is.Equal(len(starts), 2)
	is.Equal(starts[0].Number, 2)
}

// Steps wait for the steps that they depend on. A job fails when a task has used up
// its attempts, and an end that is reported twice counts once.
func TestOrderAndAttempts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}, model.Step{Count: 1, Need: oneCore, After: []int{0}}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Task.Step, 0)
	f.confirm(epoch, starts)
	f.end(epoch, starts[0], model.RunFailed)
	f.end(epoch, starts[0], model.RunFailed) // Reported again.
	again := f.state.Decide(epoch.Add(faultyBackoff)).Starts
	is.Equal(len(again), 1)
	f.end(epoch, again[0], model.RunFailed)
	is.Equal(len(f.state.Decide(epoch.Add(2*faultyBackoff)).Starts), 0)
	changes := f.state.Changes(10)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Progress.Phase, model.Failed)
}

// If the answer to a start is lost, the run is looked for in the next report and then
// ordered to stop. Its capacity and its task are free only once it is certain that it
// won't start.
func TestStartWithUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: fullExecutor}), nil)
	o := f.state.Decide(epoch).Starts[0]
	f.state.Unanswered(epoch, o)
	f.state.Reported(epoch, "a", Report{RequestedAt: epoch}) // Requested no later than the start.
	is.Equal(len(f.state.Decide(epoch).Stops), 0)
	later := epoch.Add(time.Second)
	f.state.Reported(later, "a", Report{RequestedAt: later})
	orders := f.state.Decide(later)
	is.Equal(len(orders.Starts), 0)
	is.Equal(len(orders.Stops), 1)
	f.state.Stopped(later, orders.Stops[0])
	after := later.Add(time.Second)
	f.state.Reported(after, "a", Report{RequestedAt: after})
	starts := f.state.Decide(after).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Number, 2)
}

// No executor gets more work than its capacity and no team more than its limit,
// regardless of how much waits.
func TestRoomAndLimits(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	for i := range 50 {
		f.state.AddJob(epoch, f.bulk(fmt.Sprintf("t%d", i), "t", model.Step{Count: 7, Need: model.Amount{CPU: 5000, Memory: 3000}}), nil)
		f.state.AddJob(epoch, f.bulk(fmt.Sprintf("c%d", i), "capped", model.Step{Count: 3, Need: oneCore}), nil)
	}
	f.state.Decide(epoch)
	for _, e := range f.state.executors {
		is.True(e.used.Fits(e.info.Room))
	}
	is.True(f.state.teams["capped"].used.CPU <= 4000)
	is.True(f.state.teams["t"].used.CPU > 50000) // The remaining capacity is used.
}

// Jobs that a team submits over its quota, which is its weight in jobs a second, are
// placed after the work of other teams.
func TestOverQuotaWorkGoesLast(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range 100 {
		f.state.AddJob(epoch, f.job(fmt.Sprintf("flood%d", i), model.Step{Count: 1, Need: oneCore}), nil)
	}
	other := f.job("other", model.Step{Count: 1, Need: oneCore})
	other.Team, other.Sent = "capped", epoch.Add(time.Millisecond)
	f.state.AddJob(epoch, other, nil)
	f.addReady("a") // A third of the jobs fit on it.
	started := make(map[string]bool)
	for _, o := range f.state.Decide(epoch.Add(time.Millisecond)).Starts {
		started[o.Task.Job] = true
	}
	is.Equal(len(started), 32)
	is.True(started["other"])
}

// Urgent work requests advice on executors of the faster hardware kind first.
func TestUrgentWorkRequestsFasterExecutors(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	for i := range 40 {
		f.addReady(fmt.Sprintf("slow%02d", i))
		f.state.executors[fmt.Sprintf("slow%02d", i)].info.Kind = "b"
	}
	f.addReady("fast")
	f.state.slowdowns["b"] = 1.3
	f.state.slowdowns["a"] = 0.9
	j := f.job("j", model.Step{Count: 1, Need: oneCore})
	j.Queue = "quick"
	f.state.AddJob(epoch, j, nil)
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Executors[0], "fast")
}

// An executor whose runs fail at once always looks the emptiest. A retry goes to
// another one, so that one faulty executor doesn't use up a task's attempts.
func TestRetryGoesToAnotherExecutor(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	first := f.state.Decide(epoch).Starts[0]
	f.confirm(epoch, []Start{first})
	f.end(epoch, first, model.RunFailed)
	second := f.state.Decide(epoch).Starts
	is.Equal(len(second), 1)
	is.True(second[0].Executor != first.Executor)
}

// A new owner applies the quota to the jobs of earlier owners as well, and jobs that
// have ended count against it.
func TestQuotaSurvivesTakeover(t *testing.T) {
	tests := map[string]struct{ ended, within int }{ // ended jobs, and how many of the others are within the quota
		"no job has ended":             {within: 20},
		"some jobs have ended":         {ended: 5, within: 15},
		"ended jobs used up the burst": {ended: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			for range tt.ended {
				f.state.ChargeQuota("t", epoch)
			}
			for i := range 100 {
				j := f.job(fmt.Sprintf("flood%d", i), model.Step{Count: 1, Need: oneCore})
				f.state.AddJob(epoch, j, &model.Progress{})
				is.Equal(f.state.jobs[j.ID].overQuota, i >= tt.within)
			}
		})
	}
}

// Urgent work over its team's quota leaves free the part of the limit that the team's
// other urgent work needed recently.
func TestOverQuotaWorkLeavesReserve(t *testing.T) {
	tests := map[string]struct {
		overQuota bool
		starts    int
	}{
		"within the quota": {starts: 4},
		"over the quota":   {overQuota: true, starts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			f.state.team("capped").recordUrgentDemand(4000, epoch)
			j := f.job("j", model.Step{Count: 4, Need: oneCore})
			j.Team = "capped"
			f.state.AddJob(epoch, j, nil)
			f.state.jobs["j"].overQuota = tt.overQuota
			is.Equal(len(f.state.Decide(epoch).Starts), tt.starts)
		})
	}
}

// The burst that a team may submit depends on the configured window and slack.
func TestQuotaBurst(t *testing.T) {
	tests := map[string]struct {
		opts   []Option
		within int // for weight 10
	}{
		"default":          {within: 20},
		"window and slack": {opts: []Option{WithQuota(5*time.Second, 20)}, within: 70},
		"no slack":         {opts: []Option{WithQuota(5*time.Second, 0)}, within: 50},
		"no window":        {opts: []Option{WithQuota(0, 20)}, within: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(tt.opts...)
			within := 0
			for range 200 {
				if !f.state.ChargeQuota("t", epoch) {
					within++
				}
			}
			is.Equal(within, tt.within)
			is.True(!f.state.ChargeQuota("t", epoch.Add(100*time.Millisecond))) // The bucket is refilled at the team's rate.
			is.True(f.state.ChargeQuota("t", epoch.Add(100*time.Millisecond)))
		})
	}
}

// A job counted as begun once a start of it was ordered, also if that came to nothing. So the
// number of waiting jobs was too low.
func TestOrderedStartCountsAsBegun(t *testing.T) {
	tests := map[string]struct {
		answer func(f *fixture, o Start)
		phase  model.Phase
	}{
		"ordered":          {answer: func(*fixture, Start) {}},
		"refused":          {answer: func(f *fixture, o Start) { f.state.Refused(epoch, o, RefusedBusy) }},
		"without answer":   {answer: func(f *fixture, o Start) { f.state.Unanswered(epoch, o) }},
		"confirmed":        {answer: func(f *fixture, o Start) { f.state.Started(epoch, o) }, phase: model.Running},
		"reported":         {answer: func(f *fixture, o Start) { f.state.Unanswered(epoch, o); f.report(o) }, phase: model.Running},
		"reported at once": {answer: func(f *fixture, o Start) { f.report(o) }, phase: model.Running},
		"ended":            {answer: func(f *fixture, o Start) { f.end(epoch, o, model.RunDone) }, phase: model.Running},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}, model.Step{Count: 1, Need: oneCore, After: []int{0}}), nil)
			tt.answer(f, f.state.Decide(epoch).Starts[0])
			_, phase, _ := f.state.Phase("j")
			is.Equal(phase, tt.phase)
		})
	}
}

// report reports a run.
func (f *fixture) report(o Start) {
	f.state.Reported(epoch, o.Executor, Report{RequestedAt: epoch, Runs: []model.Run{{Task: o.Task, Number: o.Number}}})
}
