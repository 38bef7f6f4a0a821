package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A large executor is partly full, so that small tasks fit there better than on empty small ones.
// They go to these all the same, and a task that only fits on a large one starts at once. Small
// tasks use large executors where nothing else has room.
func TestSmallTasksLeaveLargeExecutors(t *testing.T) {
	tests := map[string]struct {
		queue string
		small int  // tasks of 2 cores
		large bool // a task of 36 cores starts after them
		start int  // of the small ones
	}{
		"few":         {queue: "bulk", small: 8, large: true, start: 8},
		"urgent":      {queue: "urgent", small: 8, large: true, start: 8},
		"as many":     {queue: "bulk", small: 12, large: true, start: 12},
		"more":        {queue: "bulk", small: 30, start: 30},
		"beyond room": {queue: "bulk", small: 90, start: 32},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			for id, cores := range map[string]int64{"half": 16, "one": 32, "two": 64} {
				f.state.SetExecutor(model.Executor{ID: id, Service: "s", Room: model.Amount{CPU: 1000 * cores, Memory: 100000}})
				f.state.Reported(epoch, id, Report{RequestedAt: epoch})
			}
			f.state.AllExecutorsListed(epoch)
			place := func(id string, n int, cores int64) map[string]int {
				j := f.job(id, model.Step{Count: n, Need: model.Amount{CPU: 1000 * cores}})
				j.Queue = tt.queue
				f.state.AddJob(epoch, j, nil)
				on := make(map[string]int)
				for _, o := range f.state.Decide(epoch).Starts {
					on[o.Executor]++
				}
				return on
			}
			is.Equal(place("first", 1, 24), map[string]int{"one": 1})
			is.Equal(place("second", 1, 24), map[string]int{"two": 1})
			started := 0
			for i := range tt.small {
				for _, n := range place(fmt.Sprint("small", i), 1, 2) {
					started += n
				}
			}
			is.Equal(started, min(tt.start, tt.small))
			is.Equal(len(place("large", 1, 36)) > 0, tt.large)
		})
	}
}
