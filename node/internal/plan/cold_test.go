package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// runFor runs a step of four tasks that take half of an executor each, and ends those that start
// after the times of their executors.
func (f *fixture) runFor(now time.Time, id string, took map[string]time.Duration) {
	f.state.AddJob(now, f.job(id, model.Step{Count: 4, Need: model.Amount{CPU: 16000}, Estimate: time.Second}), nil)
	starts := f.state.Decide(now).Starts
	f.confirm(now, starts)
	ends := make(map[string][]model.End)
	for _, o := range starts {
		ends[o.Executor] = append(ends[o.Executor], model.End{Task: o.Task, Number: o.Number, Outcome: model.RunDone})
	}
	for executor, list := range ends {
		at := now.Add(took[executor])
		f.state.Reported(at, executor, Report{RequestedAt: at, Ends: list})
	}
}

// The evacuation of a zone ends, and its executors are cold: their tasks take three times as long.
// Urgent work goes there last once that was learned, until the time of their entries has passed.
// The slowness of their kind isn't changed by it, and nothing is assumed before.
func TestColdExecutors(t *testing.T) {
	tests := map[string]struct {
		runs  int           // steps that ran before, on a warm and a cold executor
		later time.Duration // when the urgent steps come after them
		cold  int           // of eight urgent steps, how many start on the cold executors at least and
		most  int           // at most
	}{
		"nothing learned":  {cold: 1, most: 7},
		"learned":          {runs: 8},
		"the time is over": {runs: 8, later: time.Minute, cold: 1, most: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			add := func(zone string, i int, cold time.Duration) {
				id := fmt.Sprintf("%s-%d", zone, i)
				f.state.SetExecutor(model.Executor{ID: id, Service: "s", Zone: zone, Room: fullExecutor, Kind: "a", Cold: cold})
				f.state.Reported(epoch, id, Report{RequestedAt: epoch})
			}
			add("y", 0, 0)
			add("z", 0, 50*time.Second)
			f.state.AllExecutorsListed(epoch)
			now := epoch
			for i := range tt.runs {
				f.runFor(now, fmt.Sprint("run", i), map[string]time.Duration{"y-0": time.Second, "z-0": 3 * time.Second})
				now = now.Add(4 * time.Second)
			}
			is.Equal(f.state.slowdown(f.state.executors["z-0"]), 1.0)
			now = now.Add(tt.later)
			add("y", 1, 0)
			cold := 0
			for i := range 8 {
				f.state.AddJob(now, f.job(fmt.Sprint("urgent", i), model.Step{Count: 1, Need: model.Amount{CPU: 4000}}), nil)
				for _, o := range f.state.Decide(now).Starts {
					if o.Executor == "z-0" {
						cold++
					}
				}
			}
			is.True(cold >= tt.cold && cold <= tt.most)
		})
	}
}

// An executor is cold from the first decision after its entry for the time that this gives, and
// no longer if a later entry says so. A new life isn't cold before its own entry says so.
func TestColdTimeOfEntry(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture, set func(cold time.Duration))
		cold   time.Duration // of the 5 s after the change
	}{
		"no change":   {change: func(*fixture, func(time.Duration)) {}, cold: 3 * time.Second},
		"warm now":    {change: func(_ *fixture, set func(time.Duration)) { set(0) }},
		"longer":      {change: func(_ *fixture, set func(time.Duration)) { set(4 * time.Second) }, cold: 4 * time.Second},
		"another one": {change: func(f *fixture, _ func(time.Duration)) { f.state.NewIncarnation(epoch, "e") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			set := func(cold time.Duration) {
				f.state.SetExecutor(model.Executor{ID: "e", Service: "s", Room: fullExecutor, Cold: cold})
			}
			set(4 * time.Second)
			f.state.Decide(epoch)
			now := epoch.Add(time.Second)
			tt.change(f, set)
			f.state.Decide(now)
			is.Equal(f.state.executors["e"].coldTime(now, now.Add(5*time.Second)), tt.cold)
		})
	}
}

// A step lies in one zone, so that all of its runs may be on cold executors. Their slowness is
// then learned from the estimates and how they compare with the run times of warm executors.
func TestColdIsLearnedWithoutWarmRuns(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("e")
	f.runFor(epoch, "warm", map[string]time.Duration{"e": 2 * time.Second})
	info := f.state.executors["e"].info
	info.Cold = time.Hour
	f.state.SetExecutor(info)
	for i := range 2 {
		f.runFor(epoch.Add(time.Minute), fmt.Sprint("cold", i), map[string]time.Duration{"e": 6 * time.Second})
	}
	factor := f.state.coldSlowdown(f.state.executors["e"], epoch.Add(time.Minute))
	is.True(factor > 2.9 && factor < 3.1)
}
