package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A filler had been paced to 0 by the owner before, or an order to work again was lost. The owner
// took its pace for full, so that it stood still for ever, and its executor got no new work.
func TestPausedFillerBarsExecutor(t *testing.T) {
	const target = 100 * time.Millisecond
	serving := model.Step{Count: 1, Need: oneCore, Lasting: true, Target: target}
	filling := model.Step{Count: 1, Need: oneCore, Filler: true}
	tests := map[string]struct {
		progress *model.Progress // of the earlier owner; nil if it recorded none
		serves   bool
		tail     int64 // of the serving task, in ms
		lost     int   // of the orders
		pace     int   // in the end
	}{
		"adopted, nothing serves":         {pace: 100},
		"adopted, tail is low":            {serves: true, tail: 20, pace: 100},
		"adopted, tail is between":        {serves: true, tail: 60, pace: 50},
		"adopted, tail is high":           {serves: true, tail: 90, pace: 0},
		"recorded, tail is between":       {progress: runOn("a"), serves: true, tail: 60, pace: 50},
		"adopted, orders lost":            {serves: true, tail: 20, lost: 3, pace: 100},
		"orders lost, the tail is higher": {serves: true, tail: 60, lost: 3, pace: 50},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			progress := &model.Progress{Phase: model.Running}
			if tt.progress != nil {
				progress = tt.progress
			}
			f.state.AddJob(epoch, f.job("fill", filling), progress)
			f.state.AddJob(epoch, f.job("serve", serving), &model.Progress{Phase: model.Running})
			runs := []model.Run{{Task: model.Task{Job: "fill"}, Number: 1}}
			if tt.serves {
				runs = append(runs, model.Run{Task: model.Task{Job: "serve"}, Number: 1, Percent: 100, Gauge: tt.tail})
			}
			pace, ordered := 0, 0
			for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(500 * time.Millisecond) {
				f.state.Reported(now, "a", Report{RequestedAt: now, Runs: runs})
				for _, p := range f.state.Decide(now).Paces {
					if ordered++; ordered <= tt.lost {
						f.state.PaceFailed(p)
						continue
					}
					pace = p.Percent
				}
				if pace > 0 {
					runs[0].Percent++
				}
				is.Equal(f.state.CountExclusions(now)[BackedOff], 0)
			}
			is.Equal(pace, tt.pace)
			is.True(ordered <= tt.lost+3)
		})
	}
}

// runOn returns progress with a run of the only task on an executor.
func runOn(id string) *model.Progress {
	return &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: id, Number: 1}}}}},
	}}
}
