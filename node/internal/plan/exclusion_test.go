package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// An executor that gets no new work is counted under the reason for it, so that an exclusion
// that never ends shows in the metrics.
func TestExclusionsAreCounted(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture)
		want   map[Exclusion]int
	}{
		"none":          {change: func(*fixture) {}, want: map[Exclusion]int{}},
		"silent":        {change: func(f *fixture) { f.state.Silent(epoch, "a") }, want: map[Exclusion]int{Unresponsive: 1}},
		"not reported":  {change: func(f *fixture) { f.addExecutor("b") }, want: map[Exclusion]int{Unreported: 1}},
		"in the record": {change: func(f *fixture) { f.state.RecordingClosed([]string{"a"}) }, want: map[Exclusion]int{Closed: 1}},
		"without entry": {change: func(f *fixture) { f.state.executor("b") }, want: map[Exclusion]int{Unregistered: 1}},
		"zone":          {change: func(f *fixture) { f.state.AvoidZone("z") }, want: map[Exclusion]int{ZoneAvoided: 1}},
		"backed off":    {change: func(f *fixture) { f.state.executors["a"].backoffUntil = epoch.Add(time.Second) }, want: map[Exclusion]int{BackedOff: 1}},
		"draining": {
			change: func(f *fixture) {
				f.state.SetExecutor(model.Executor{ID: "a", Service: "s", Room: fullExecutor, Draining: true})
			},
			want: map[Exclusion]int{Draining: 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			info := f.state.executors["a"].info
			info.Zone = "z"
			f.state.SetExecutor(info)
			tt.change(f)
			is.Equal(f.state.CountExclusions(epoch), tt.want)
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			starts := 1
			if len(tt.want) > 0 && f.state.exclusion(f.state.executors["a"], epoch) != NotExcluded {
				starts = 0
			}
			is.Equal(len(f.state.Decide(epoch).Starts), starts)
		})
	}
}
