package plan

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// oddTask draws the identifier of a task that may not exist.
func oddTask(t *rapid.T) model.Task {
	return model.Task{
		Job: rapid.SampledFrom([]string{"j0", "j1", "j2", "unknown", ""}).Draw(t, "job"), Occur: rapid.IntRange(-1, 3).Draw(t, "occur"),
		Step: rapid.IntRange(-1, 2).Draw(t, "step"), Index: rapid.IntRange(-1, 4).Draw(t, "index"),
	}
}

// oddNumber draws the number of a run.
func oddNumber(t *rapid.T) int {
	return rapid.SampledFrom([]int{1, 2, 3, 65, 0, -1, math.MaxInt - 1}).Draw(t, "number")
}

func oddExecutor(t *rapid.T) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "unknown"}).Draw(t, "executor")
}

// oddProgress draws progress that may not fit its job.
func oddProgress(t *rapid.T) *model.Progress {
	p := &model.Progress{Phase: model.Phase(rapid.IntRange(0, 4).Draw(t, "phase"))}
	for range rapid.IntRange(0, 3).Draw(t, "occurs") {
		if p.Occurs == nil {
			p.Occurs = make(map[int]model.Occur)
		}
		task := oddTask(t)
		o := model.Occur{Done: rapid.Bool().Draw(t, "done")}
		if rapid.Bool().Draw(t, "stages") {
			place := model.Place{Executor: oddExecutor(t), Number: oddNumber(t)}
			o.Stages = map[int]model.Stage{task.Step: {
				Done: rapid.SliceOfN(rapid.Byte(), 0, 2).Draw(t, "bits"), Failed: map[int][]int{task.Index: {oddNumber(t)}},
				Runs: map[int]model.Place{task.Index: place}, Spares: map[int][]model.Place{task.Index: {place, place}},
			}}
		}
		p.Occurs[task.Occur] = o
	}
	return p
}

// oddReport draws a report of runs and ends, some of which this owner doesn't know.
func oddReport(t *rapid.T, now time.Time) Report {
	rep := Report{RequestedAt: now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond), More: rapid.Bool().Draw(t, "more")}
	for range rapid.IntRange(0, 3).Draw(t, "runs") {
		rep.Runs = append(rep.Runs, model.Run{Task: oddTask(t), Number: oddNumber(t), Percent: rapid.IntRange(-5, 200).Draw(t, "percent"), Gauge: rapid.Int64().Draw(t, "gauge")})
	}
	for range rapid.IntRange(0, 3).Draw(t, "ends") {
		rep.Ends = append(rep.Ends, model.End{Seq: 1, Task: oddTask(t), Number: oddNumber(t), Outcome: model.Outcome(rapid.IntRange(0, 6).Draw(t, "outcome"))})
	}
	return rep
}

// oddConfig draws a configuration that may lack queues, teams and services, or move a queue.
func oddConfig(t *rapid.T, version int64) *model.Config {
	var some []model.Queue
	for _, q := range queues {
		if !rapid.Bool().Draw(t, "queue") {
			continue
		}
		q.Advised = rapid.Bool().Draw(t, "advised")
		q.Service = rapid.SampledFrom([]string{"s", "other", ""}).Draw(t, "service")
		q.Attempts, q.Priority = rapid.IntRange(-1, 3).Draw(t, "attempts"), rapid.IntRange(-1, 3).Draw(t, "priority")
		some = append(some, q)
	}
	var teams []model.Team
	if rapid.Bool().Draw(t, "team") {
		teams = append(teams, model.Team{Name: "t", Weight: float64(rapid.IntRange(-1, 10).Draw(t, "weight")), Limit: model.Amount{CPU: int64(rapid.IntRange(-1, 4000).Draw(t, "limit"))}})
	}
	return model.NewConfig(version, some, []model.Service{{Name: "s"}}, teams)
}

// Refusals, reports, records, answers and configurations of any kind, in any order, end no
// process. What the runs on an executor take is what it accounts for.
func TestOddEventsEndProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.addReady("a", "b", "c")
		f.state.SetAdviceSlots(2)
		now := epoch
		var starts []Start
		var requests []AdviceRequest
		for i := range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"job", "config", "refused", "odd start", "report", "advice", "closed", "executor", "cancel", "lost"}).Draw(t, "event") {
			case "job":
				j := f.job("j"+string(rune('0'+i%3)), model.Step{Count: 3, Need: oneCore, Gang: rapid.Bool().Draw(t, "gang"), Copies: rapid.Bool().Draw(t, "copies")}, model.Step{Count: 1, Need: oneCore, After: []int{0}, Lasting: rapid.Bool().Draw(t, "lasting")})
				j.Queue, j.Times, j.First, j.Every = rapid.SampledFrom([]string{"urgent", "advised", "gone"}).Draw(t, "queue"), rapid.IntRange(0, 3).Draw(t, "times"), now, time.Second
				var p *model.Progress
				if rapid.Bool().Draw(t, "inherited") {
					p = oddProgress(t)
				}
				f.state.AddJob(now, j, p)
			case "config":
				f.state.Configure(oddConfig(t, int64(i)))
			case "refused":
				for _, o := range starts {
					f.state.Refused(now, o, Refusal(rapid.IntRange(0, 6).Draw(t, "why")))
				}
				starts = nil
			case "odd start":
				o := Start{Task: oddTask(t), Number: oddNumber(t), Executor: oddExecutor(t)}
				f.state.Started(now, o)
				f.state.Unanswered(now, o)
				f.state.StillWanted(now, &o)
				f.state.Stopped(now, Stop{Task: o.Task, Number: o.Number, Executor: o.Executor})
				f.state.Refused(now, o, RefusedTicket)
			case "report":
				f.state.Reported(now, oddExecutor(t), oddReport(t, now))
			case "advice":
				for _, q := range requests {
					q.Executors = append(q.Executors, "unknown")
					f.state.AdviceReceived(now, q, map[string]string{"a": "x", "unknown": "y"}, time.Duration(rapid.IntRange(-1, 1).Draw(t, "valid"))*time.Second)
				}
				f.state.AdviceFailed(now, AdviceRequest{Step: oddTask(t).StepID(), decision: rapid.IntRange(0, 40).Draw(t, "decision")})
				requests = nil
			case "closed":
				f.state.RecordingClosed([]string{oddExecutor(t)})
				f.state.ClosedRecorded([]string{oddExecutor(t)}, nil)
			case "executor":
				f.addExecutor(oddExecutor(t))
				f.state.NewIncarnation(now, oddExecutor(t))
				f.state.Silent(now, oddExecutor(t))
			case "cancel":
				f.state.Cancel(now, oddTask(t).Job)
			case "lost":
				f.state.RemoveExecutor(oddExecutor(t))
			}
			orders := f.state.Decide(now)
			starts, requests = append(starts, orders.Starts...), append(requests, orders.AdviceRequests...)
			f.state.LongWaits(now)
			for _, c := range f.state.Changes(10) {
				if rapid.Bool().Draw(t, "recorded") {
					f.state.Recorded(c)
				}
			}
			for id, e := range f.state.executors {
				var used model.Amount
				for _, r := range e.runs {
					used = used.Add(r.reserved)
				}
				if used != e.used {
					t.Fatalf("the runs on %s take %v, it accounts for %v", id, used, e.used)
				}
			}
		}
	})
}
