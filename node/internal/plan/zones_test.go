package plan

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// addZones adds zones with executors that have reported.
func (f *fixture) addZones(zoneCount, executorsPerZone int) {
	for z := range zoneCount {
		for i := range executorsPerZone {
			id := fmt.Sprintf("z%d-%d", z, i)
			f.state.SetExecutor(model.Executor{ID: id, Service: "s", Address: id, Zone: fmt.Sprintf("z%d", z), Room: fullExecutor, Kind: "a"})
			f.state.Reported(epoch, id, Report{RequestedAt: epoch})
		}
	}
	f.state.AllExecutorsListed(epoch)
}

// A zone is lost while steps of about ten tasks run. If each step is in one zone,
// only the steps in that zone are affected. The steps share the zones evenly. A step
// that fits into no zone uses as few as possible, and lasting tasks use all.
func TestStepsLieInOneZone(t *testing.T) {
	const zoneCount, executorsPerZone = 4, 3 // executors have 32 cores
	tests := map[string]struct {
		step    model.Step
		jobs    int
		perStep int // most zones that a step may use
		used    int // fewest zones that all steps use together
	}{
		"small steps":           {step: model.Step{Count: 10, Need: model.Amount{CPU: 1000}}, jobs: 16, perStep: 1, used: zoneCount},
		"larger than a zone":    {step: model.Step{Count: 5, Need: model.Amount{CPU: 32000}}, jobs: 1, perStep: 2, used: 2},
		"lasting tasks":         {step: model.Step{Count: 4, Need: model.Amount{CPU: 32000}, Lasting: true}, jobs: 1, perStep: zoneCount, used: 2},
		"a zone is nearly full": {step: model.Step{Count: 3, Need: model.Amount{CPU: 16000}}, jobs: 8, perStep: 1, used: zoneCount},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addZones(zoneCount, executorsPerZone)
			for i := range tt.jobs {
				f.state.AddJob(epoch, f.job(fmt.Sprintf("job-%d", i), tt.step), nil)
			}
			byJob, all := make(map[string]map[string]bool), make(map[string]bool)
			for _, s := range f.state.Decide(epoch).Starts {
				zone := f.state.executors[s.Executor].info.Zone
				if byJob[s.Task.Job] == nil {
					byJob[s.Task.Job] = make(map[string]bool)
				}
				byJob[s.Task.Job][zone], all[zone] = true, true
			}
			is.Equal(len(byJob), tt.jobs)
			for _, used := range byJob {
				is.True(len(used) <= tt.perStep)
			}
			is.True(len(all) >= tt.used)
		})
	}
}

// A zone is lost while lasting tasks run. They lie evenly in the zones, so that few are lost, but
// not where that costs more than how well they fit. What is started later fills the gaps.
func TestLastingTasksSpreadOverZones(t *testing.T) {
	tests := map[string]struct {
		step   model.Step
		before func(f *fixture) // the step starts
		want   []int            // tasks by zone
	}{
		"even":           {step: model.Step{Count: 9}, want: []int{3, 3, 3}},
		"data in a zone": {step: model.Step{Count: 9, Rack: "z1-rack"}, want: []int{0, 9, 0}},
		"a full zone": {
			step: model.Step{Count: 8}, want: []int{4, 0, 4},
			before: func(f *fixture) {
				for _, id := range []string{"z1-0", "z1-1"} {
					f.state.executors[id].used = fullExecutor
				}
			},
		},
		"a slow zone": {
			step: model.Step{Count: 8}, want: []int{4, 0, 4},
			before: func(f *fixture) {
				for _, id := range []string{"z1-0", "z1-1"} {
					f.state.executors[id].track, f.state.executors[id].odd = track{excess: 1, at: epoch}, true
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addZones(3, 2)
			for _, e := range f.state.executors {
				e.info.Labels = []string{"a", e.info.Zone + "-rack"}
			}
			if tt.before != nil {
				tt.before(f)
			}
			tt.step.Lasting, tt.step.Need = true, oneCore
			f.state.AddJob(epoch, f.job("j", tt.step), nil)
			byZone := func() []int {
				out := make([]int, 3)
				for _, e := range f.state.executors {
					out[e.zone-1] += len(e.runs) // Zone 0 is the empty one.
				}
				return out
			}
			f.confirm(epoch, f.state.Decide(epoch).Starts)
			is.Equal(byZone(), tt.want)
			f.state.RemoveRuns("z0-0") // Its tasks start again.
			f.state.Decide(epoch)
			is.Equal(byZone(), tt.want)
		})
	}
}
