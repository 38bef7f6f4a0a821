package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// twoServices returns a fixture with a queue of a second service, which has accelerators: 4 executors without
// and 3 with 8 accelerators each.
func twoServices() *fixture {
	f := newFixture()
	queues := append([]model.Queue{{Name: "render", Service: "accel", Priority: 1, Attempts: 2, Stretch: 2, Slack: time.Second}}, queues...)
	f.config = model.NewConfig(1, queues, []model.Service{{Name: "s"}, {Name: "accel"}}, []model.Team{{Name: "t", Weight: 10, Limit: model.Amount{Accel: 20}}})
	f.state.Configure(f.config)
	f.addReady("cpu1", "cpu2", "cpu3", "cpu4")
	for _, id := range []string{"accel1", "accel2", "accel3"} {
		f.state.SetExecutor(model.Executor{ID: id, Service: "accel", Address: id, Room: model.Amount{CPU: 128000, Memory: 256000, Accel: 8}, Kind: "a"})
		f.state.Reported(epoch, id, Report{RequestedAt: epoch})
	}
	f.state.AllExecutorsListed(epoch)
	return f
}

// A task that needs accelerators runs only where as many are free, and under the team's limit on them;
// processors that are free beside them don't count for it.
func TestAcceleratorsAreOvercommitted(t *testing.T) {
	tests := map[string]struct {
		need   int64
		count  int
		starts int
	}{
		"one for each executor":         {need: 8, count: 4, starts: 2}, // Three would be beyond the team's limit of 20.
		"several on an executor":        {need: 3, count: 9, starts: 6},
		"one that fits nowhere":         {need: 9, count: 1},
		"none needed":                   {count: 30, starts: 24}, // Processors are the limit.
		"limit before the accelerators": {need: 1, count: 24, starts: 20},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := twoServices()
			need := model.Amount{CPU: 16000, Memory: 1000, Accel: tt.need}
			if tt.need == 1 {
				need.CPU = 1000
			}
			f.state.AddJob(epoch, &model.Job{ID: "j", Queue: "render", Team: "t", Sent: epoch, Steps: []model.Step{{Count: tt.count, Need: need, Estimate: time.Second}}}, nil)
			starts := f.state.Decide(epoch).Starts
			is.Equal(len(starts), tt.starts)
			used := make(map[string]int64)
			for _, o := range starts {
				used[o.Executor] += tt.need
			}
			for id, n := range used {
				is.True(f.state.executors[id].info.Service == "accel")
				is.True(n <= 8)
			}
		})
	}
}

// A backlog of one service neither takes executors of another one in the same cell nor holds up its work.
func TestBacklogHoldsUpOtherService(t *testing.T) {
	is := is.New(t)
	f := twoServices()
	for n := range 50 { // Far more than the four executors hold.
		f.state.AddJob(epoch, f.job(fmt.Sprintf("s%d", n), model.Step{Count: 8, Need: model.Amount{CPU: 16000, Memory: 1000}, Estimate: 4 * time.Second}), nil)
	}
	f.state.AddJob(epoch, &model.Job{ID: "render", Queue: "render", Team: "t", Sent: epoch, Steps: []model.Step{{Count: 2, Need: model.Amount{CPU: 62000, Memory: 1000, Accel: 8}, Estimate: 4 * time.Second}}}, nil)
	on := make(map[string]int)
	for _, o := range f.state.Decide(epoch).Starts {
		want := "s"
		if o.Task.Job == "render" {
			want = "accel"
		}
		is.Equal(f.state.executors[o.Executor].info.Service, want)
		on[want]++
	}
	is.Equal(on, map[string]int{"s": 8, "accel": 2})
}
