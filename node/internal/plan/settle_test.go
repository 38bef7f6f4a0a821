package plan

import (
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
		"the time is up":                            {reports: []string{"a"}, after: settle, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettle(epoch.Add(settle)))
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: small}), &model.Progress{Phase: model.Running})
			f.executor("a")
			if tt.complete {
				f.executor("b")
				f.state.Complete()
			}
			for _, id := range tt.reports {
				f.state.Reported(epoch, id, Report{Asked: epoch})
			}
			is.Equal(len(f.state.Decide(epoch.Add(tt.after)).Starts), tt.starts)
		})
	}
}
