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
