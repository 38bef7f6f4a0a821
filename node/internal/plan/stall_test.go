package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// The executor answers, but all that runs on it is frozen for some seconds.
func TestStalledRuns(t *testing.T) {
	urgent, bulk := "urgent", "bulk"
	tests := map[string]struct {
		queue   string
		step    model.Step
		percent []int // reported every half second
		stops   int
		backoff bool // the executor gets no new work
	}{
		"urgent":                {queue: urgent, percent: []int{5, 20, 20, 20, 20}, stops: 1, backoff: true},
		"urgent, working":       {queue: urgent, percent: []int{5, 20, 40, 60, 80}},
		"slow start":            {queue: urgent, percent: []int{0, 0, 10, 20, 40}},
		"bulk":                  {queue: bulk, percent: []int{5, 20, 20, 20, 20}, backoff: true},
		"bulk with checkpoints": {queue: bulk, step: model.Step{Checkpoints: true}, percent: []int{5, 20, 20, 20, 20}, stops: 1, backoff: true},
		"lasting tasks":         {queue: urgent, step: model.Step{Lasting: true}, percent: []int{100, 100, 100, 100, 100}},
		"members of a gang":     {queue: urgent, step: model.Step{Gang: true}, percent: []int{0, 0, 0, 0, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			tt.step.Count, tt.step.Need = 1, oneCore
			j := f.job("j", tt.step)
			j.Queue = tt.queue
			f.state.AddJob(epoch, j, nil)
			starts := f.state.Decide(epoch).Starts
			f.confirm(epoch, starts)
			now, stops := epoch, 0
			for _, p := range tt.percent {
				now = now.Add(500 * time.Millisecond)
				f.state.Reported(now, "a", Report{RequestedAt: now, Runs: []model.Run{{Task: starts[0].Task, Number: 1, Percent: p}}})
				stops += len(f.state.Decide(now).Stops)
			}
			is.Equal(stops, tt.stops)
			f.state.AddJob(now, f.job("next", model.Step{Count: 1, Need: oneCore}), nil)
			is.Equal(len(f.state.Decide(now).Starts) == 0, tt.backoff)
		})
	}
}

// A task of hours stands at a percent for minutes. Its executor got no new work, and a task that
// saves checkpoints was stopped again and again.
func TestLongTaskBarsExecutor(t *testing.T) {
	const length = 2 * time.Hour
	tests := map[string]struct {
		estimate    time.Duration
		checkpoints bool
		excluded    time.Duration // at most, in ten minutes
		stops       int           // at most
	}{
		"exact estimate":                {estimate: length},
		"exact, with checkpoints":       {estimate: length, checkpoints: true},
		"low estimate":                  {estimate: length / 10, excluded: 15 * time.Second},
		"low, with checkpoints":         {estimate: length / 10, checkpoints: true, excluded: 15 * time.Second, stops: 5},
		"no estimate":                   {excluded: 30 * time.Second},
		"no estimate, with checkpoints": {checkpoints: true, excluded: 40 * time.Second, stops: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			j := f.job("j", model.Step{Count: 1, Need: oneCore, Estimate: tt.estimate, Checkpoints: tt.checkpoints})
			j.Queue = "bulk"
			f.state.AddJob(epoch, j, nil)
			const interval = 500 * time.Millisecond
			work, stops, excluded := time.Duration(0), 0, time.Duration(0)
			var running *Start
			for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = now.Add(interval) {
				rep := Report{RequestedAt: now}
				if running != nil {
					work += interval
					rep.Runs = []model.Run{{Task: running.Task, Number: running.Number, Percent: int(100 * work / length)}}
				}
				f.state.Reported(now, "a", rep)
				if f.state.CountExclusions(now)[BackedOff] > 0 {
					excluded += interval
				}
				orders := f.state.Decide(now)
				for _, o := range orders.Stops {
					stops++
					running = nil
					f.state.Stopped(now, o)
				}
				for i := range orders.Starts {
					running = &orders.Starts[i]
				}
				f.confirm(now, orders.Starts)
			}
			is.True(excluded <= tt.excluded)
			is.True(stops <= tt.stops)
		})
	}
}

// Beside a task that stands still others go on: their executor isn't frozen.
func TestWorkingExecutorIsBarred(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 2, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	f.confirm(epoch, starts)
	for i := range 40 {
		now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
		f.state.Reported(now, "a", Report{RequestedAt: now, Runs: []model.Run{{Task: starts[0].Task, Number: 1, Percent: 7}, {Task: starts[1].Task, Number: 1, Percent: i}}})
		is.Equal(len(f.state.CountExclusions(now)), 0)
	}
}
