package plan

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// recoveryTime is the time after the last fault in which all executors that answer have to get
// work again, as the platform's pages have it.
const recoveryTime = 12 * time.Second

// Executors refuse starts, fail and freeze, are silent, begin another life, lose their entry and come
// back, beside tasks that take hours or were paused by an earlier owner. After the faults each that
// answers gets new work within recoveryTime, and again in each such time.
func TestExecutorsStayExcluded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const interval = 500 * time.Millisecond
		ids := []string{"a", "b", "c"}
		f, now := newFixture(), epoch
		f.addReady(ids...)
		w := &world{f: f, runs: make(map[string]map[model.Task]*worldRun)}
		for _, id := range ids {
			w.runs[id] = make(map[model.Task]*worldRun)
		}
		if rapid.Bool().Draw(t, "inherited") {
			f.state.RestoreClosed([]string{"a", "c"}, []string{"c"}, nil)
		}
		long := model.Step{Count: 2, Need: oneCore, Estimate: time.Duration(rapid.IntRange(0, 7200).Draw(t, "estimate")) * time.Second, Checkpoints: rapid.Bool().Draw(t, "checkpoints")}
		paused := model.Step{Count: 2, Need: oneCore, Filler: true}
		serving := model.Step{Count: 3, Need: oneCore, Lasting: true, Spread: 1, Target: 100 * time.Millisecond}
		for i, step := range []model.Step{long, paused, serving} {
			j := f.job(fmt.Sprintf("long%d", i), step)
			j.Queue = "bulk"
			f.state.AddJob(now, j, nil)
		}
		step := func(fault, id string) {
			now = now.Add(interval)
			if rapid.Bool().Draw(t, "job") {
				f.state.AddJob(now, f.job(fmt.Sprint(now.UnixMilli()), model.Step{Count: 2, Need: oneCore}), nil)
			}
			w.step(t, now, fault, id)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			fault := rapid.SampledFrom([]string{"none", "refuse", "fail", "freeze", "silent", "restart", "leave", "lose record"}).Draw(t, "fault")
			step(fault, rapid.SampledFrom(ids).Draw(t, "executor"))
		}
		for range 3 {
			excluded, ticks := make(map[string]int), 0
			for end := now.Add(recoveryTime); now.Before(end); ticks++ {
				step("none", "")
				for _, id := range ids {
					if f.state.exclusion(f.state.executors[id], now) != NotExcluded {
						excluded[id]++
					}
				}
			}
			for id, n := range excluded {
				if n == ticks {
					t.Fatalf("%s gets no work for %v after the last fault", id, recoveryTime)
				}
			}
		}
	})
}

// world is what executors do with the orders of a State.
type world struct {
	f    *fixture
	runs map[string]map[model.Task]*worldRun // by executor
}

// worldRun is a run on an executor.
type worldRun struct {
	number, ticks int
}

// step lets the executors report, with a fault of one of them, and carries out what is decided.
func (w *world) step(t *rapid.T, now time.Time, fault, id string) {
	s := w.f.state
	for name, runs := range w.runs {
		faulty := name == id
		switch {
		case faulty && fault == "silent":
			s.Silent(now, name)
			continue
		case faulty && fault == "restart":
			clear(runs)
			s.NewIncarnation(now, name)
		case faulty && fault == "leave":
			clear(runs)
			s.RemoveExecutor(name)
		}
		w.f.addExecutor(name)
		rep := Report{RequestedAt: now}
		for task, r := range runs {
			if !faulty || fault != "freeze" {
				r.ticks++
			}
			long := len(task.Job) > 4 && task.Job[:4] == "long"
			if !long && (r.ticks > 1 || faulty && fault == "fail") {
				outcome := model.RunDone
				if faulty && fault == "fail" {
					outcome = model.RunFailed
				}
				rep.Ends = append(rep.Ends, model.End{Seq: 1, Task: task, Number: r.number, Outcome: outcome})
				delete(runs, task)
				continue
			}
			percent := 50 * r.ticks
			if long {
				percent = r.ticks / 144 // Two hours in steps of half a second.
			}
			rep.Runs = append(rep.Runs, model.Run{Task: task, Number: r.number, Percent: percent, Gauge: 60})
		}
		s.Reported(now, name, rep)
	}
	orders := s.Decide(now)
	for _, o := range orders.Starts {
		if o.Executor == id && fault == "refuse" {
			s.Refused(now, o, Refusal(rapid.IntRange(0, len(Refusals())-1).Draw(t, "why")))
			continue
		}
		w.runs[o.Executor][o.Task] = &worldRun{number: o.Number}
		s.Started(now, o)
	}
	for _, o := range orders.Stops {
		delete(w.runs[o.Executor], o.Task)
		s.Stopped(now, o)
	}
	closed, unverified, differs := s.Closed()
	if differs {
		s.RecordingClosed(closed)
		if fault != "lose record" {
			s.ClosedRecorded(closed, unverified)
		}
	}
}
