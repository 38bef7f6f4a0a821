package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// recurringJob returns a job that runs one task each second from first on.
func (f *fixture) recurringJob(id string, times int, first time.Time) *model.Job {
	j := f.job(id, model.Step{Count: 1, Need: model.Amount{CPU: 1}})
	j.Times, j.First, j.Every = times, first, time.Second
	return j
}

// A job that was due each second of the day before stopped all hosts, one after the other: each
// decision looked through its occurrences once for each of them, and its record outgrew a row.
func TestJobWithManyTimesStopsHosts(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	const times = 86_400
	f.state.AddJob(epoch, f.recurringJob("many", times, epoch.Add(-times*time.Second)), nil)
	f.state.AddJob(epoch, f.job("small", model.Step{Count: 1, Need: oneCore}), nil)
	small, done := false, 0
	for now := epoch; done < 10*maxOpenTasks; now = now.Add(10 * time.Millisecond) {
		starts := f.state.Decide(now).Starts
		is.True(len(starts) > 0)
		f.confirm(now, starts)
		j := f.state.jobs["many"]
		is.True(len(j.occurs) <= maxOpenTasks)
		is.True(len(j.progress().Occurs) <= maxOpenTasks)
		for _, o := range starts {
			if o.Task.Job == "small" {
				small = true
				continue
			}
			is.Equal(o.Task.Occur, done) // They begin in order.
			f.end(now, o, model.RunDone)
			done++
		}
		is.True(small)
	}
}

// Tasks that last don't keep later occurrences from beginning.
func TestLastingTasksHoldBackOccurrences(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	j := f.recurringJob("j", 2, epoch)
	j.Every = 0
	j.Steps[0].Count, j.Steps[0].Lasting = maxOpenTasks, true
	f.state.AddJob(epoch, j, nil)
	f.confirm(epoch, f.state.Decide(epoch).Starts)
	is.Equal(len(f.state.Decide(epoch).Starts), maxOpenTasks)
}

// A report of a run named an occurrence that isn't due for a year. It began, and all others of
// such reports with it.
func TestOddReportBeginsOccurrences(t *testing.T) {
	tests := map[string]struct {
		occur   int
		adopted bool
	}{
		"due":              {occur: 5, adopted: true},
		"due soon":         {occur: 15, adopted: true}, // By the clock of the owner before.
		"not due for long": {occur: 10_000_000},
		"after the last":   {occur: 1_000_000_000},
		"negative":         {occur: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			f.state.AddJob(epoch, f.recurringJob("j", 1_000_000_000, epoch.Add(-10*time.Second)), &model.Progress{Phase: model.Running, Next: 3})
			run := model.Run{Task: model.Task{Job: "j", Occur: tt.occur}, Number: 1}
			f.state.Reported(epoch, "a", Report{RequestedAt: epoch, Runs: []model.Run{run}})
			is.Equal(len(f.state.jobs["j"].occurs) == 1, tt.adopted)
			orders := f.state.Decide(epoch.Add(time.Minute))
			is.Equal(len(orders.Stops) == 0, tt.adopted)
			for _, o := range orders.Starts {
				is.True(o.Task.Occur >= 3) // The earlier ones have finished.
				is.True(o.Task.Occur != 5 || tt.occur != 5)
			}
		})
	}
}

// Records of programs before Next name each occurrence that has finished.
func TestRecordWithoutNextRepeatsOccurrences(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	done := model.Occur{Done: true}
	began := model.Occur{Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "a", Number: 1}}}}}
	f.state.AddJob(epoch, f.recurringJob("j", 8, epoch.Add(-time.Minute)), &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{0: done, 1: done, 3: began, 5: done, -1: done, 99: done}})
	var begun []int
	for _, o := range f.state.Decide(epoch.Add(settleTime)).Starts {
		begun = append(begun, o.Task.Occur)
	}
	is.Equal(len(begun), 4)
	for _, k := range begun {
		is.True(k == 2 || k == 4 || k == 6 || k == 7)
	}
}

// Owners take over from one another with the records of the one before, and executors repeat what
// isn't recorded. Each occurrence of a job is done once, and the job ends.
func TestOccurrencesRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.IntRange(1, 12).Draw(t, "times")
		f, now := newFixture(), epoch
		f.addReady("a")
		first := epoch.Add(time.Duration(rapid.IntRange(-20, 2).Draw(t, "first")) * time.Second)
		f.state.AddJob(now, f.recurringJob("j", times, first), nil)
		record := &model.Progress{}
		done := make(map[int]int)
		running := make(map[model.Task]int) // numbers of the runs on the executor
		var ends []model.End                // not recorded
		percent := 0                        // It rises, so that no run counts as stalled.
		report := func() Report {
			percent++
			rep := Report{RequestedAt: now, Ends: ends}
			for task, number := range running {
				rep.Runs = append(rep.Runs, model.Run{Task: task, Number: number, Percent: percent})
			}
			return rep
		}
		carryOut := func() {
			orders := f.state.Decide(now)
			for _, o := range orders.Starts {
				if now.Before(first.Add(time.Duration(o.Task.Occur) * time.Second)) {
					t.Fatalf("occurrence %d began before it was due", o.Task.Occur)
				}
				if done[o.Task.Occur] > 0 || running[o.Task] > 0 {
					t.Fatalf("occurrence %d began again", o.Task.Occur)
				}
				running[o.Task] = o.Number
				f.state.Started(now, o)
			}
			for _, o := range orders.Stops {
				t.Fatalf("run %d of occurrence %d was stopped", o.Number, o.Task.Occur)
			}
		}
		takeRecord := func() {
			for _, c := range f.state.Changes(1) {
				record, ends = c.Progress, nil
				f.state.Recorded(c)
			}
		}
		event := func(kind string) {
			switch kind {
			case "end":
				for task, number := range running {
					delete(running, task)
					done[task.Occur]++
					ends = append(ends, model.End{Seq: int64(len(ends) + 1), Task: task, Number: number, Outcome: model.RunDone})
					break
				}
				now = now.Add(time.Millisecond) // A report is requested after the start that it lacks.
				f.state.Reported(now, "a", report())
			case "record":
				takeRecord()
			case "takeover":
				f = newFixture()
				f.addExecutor("a")
				f.state.AllExecutorsListed(now)
				f.state.AddJob(now, f.recurringJob("j", times, first), record)
				now = now.Add(time.Millisecond)
				f.state.Reported(now, "a", report())
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "pause")) * time.Millisecond)
			carryOut()
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			event(rapid.SampledFrom([]string{"end", "end", "record", "takeover"}).Draw(t, "event"))
		}
		now = now.Add(time.Minute)
		for range 2*times + 2 {
			event("end")
		}
		takeRecord()
		if record.Phase != model.Done || len(done) != times {
			t.Fatalf("the job is %v, %d of %d occurrences were done: %s", record.Phase, len(done), times, fmt.Sprint(done))
		}
	})
}
