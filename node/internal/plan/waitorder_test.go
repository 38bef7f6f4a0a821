package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// freshOrder returns what waitingStages must return, from all jobs and without what is kept.
func freshOrder(s *State, now time.Time) []waitingStage {
	var out []waitingStage
	for _, j := range s.jobs {
		if j.phase.Final() {
			continue
		}
		j.beginDue(now, s.recordSize)
		held := j.inherited && !now.After(s.settleDeadline) && s.unsettled(j.queue.Service, now)
		for _, o := range j.occurs {
			for _, st := range o.stages {
				if st.waiting > 0 && o.ready(st) && (!held || st.mayCopy()) {
					out = append(out, waitingStage{stage: st, urgency: st.urgency(now)})
				}
			}
		}
	}
	slices.SortFunc(out, func(a, b waitingStage) int { return a.compare(&b) })
	return out
}

// describe returns the steps and ranks of stages.
func describe(waiting []waitingStage) []string {
	out := make([]string, len(waiting))
	for i, w := range waiting {
		out[i] = fmt.Sprintf("%v rank %d", w.stage.id(), w.urgency.rank)
	}
	return out
}

// A stage that the kept order lacks waits for ever, and one in a wrong place starts too late. Each
// place that maintains the order was left out in turn, and this test failed.
func TestKeptOrderIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		f, now, jobs := newFixture(), epoch, 0
		executors := []string{"a", "b", "c"}
		var running []Start
		specs := make(map[string]*model.Job)
		end := func(outcome model.Outcome) {
			if len(running) > 0 {
				i := random.IntN(len(running))
				o := running[i]
				running = slices.Delete(running, i, i+1)
				f.state.Reported(now, o.Executor, Report{RequestedAt: now, More: true, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: outcome}}})
			}
		}
		events := map[string]func(){
			"submit": func() {
				jobs++
				j := &model.Job{ID: fmt.Sprintf("j%02d", jobs), Queue: []string{"urgent", "bulk", "advised"}[random.IntN(3)], Team: []string{"t", "capped"}[random.IntN(2)], Sent: now.Truncate(time.Second)}
				for i := range 1 + random.IntN(3) {
					step := model.Step{Count: 1 + random.IntN(3), Need: oneCore, Estimate: time.Duration(1+random.IntN(3)) * time.Second, Copies: random.IntN(3) == 0, Gang: random.IntN(6) == 0, Lasting: random.IntN(12) == 0}
					if i > 0 && random.IntN(3) > 0 {
						step.After = []int{random.IntN(i)}
					}
					j.Steps = append(j.Steps, step)
				}
				if random.IntN(4) == 0 {
					j.Times, j.First, j.Every = 1+random.IntN(4), now.Add(time.Duration(random.IntN(3))*time.Second), time.Second
				}
				if f.state.AddJob(now, j, nil) {
					specs[j.ID] = j
				}
			},
			"done":     func() { end(model.RunDone) },
			"failed":   func() { end(model.RunFailed) },
			"lapsed":   func() { end(model.RunLapsed) },
			"lost":     func() { f.state.RemoveRuns(executors[random.IntN(3)]) },
			"silent":   func() { f.state.Silent(now, executors[random.IntN(3)]) },
			"removed":  func() { f.state.RemoveExecutor(executors[random.IntN(3)]) },
			"reported": func() { f.addReady(executors...) },
			"time":     func() { now = now.Add(time.Duration(random.IntN(4000)) * time.Millisecond) },
			"set back": func() { now = now.Add(-time.Duration(random.IntN(2000)) * time.Millisecond) },
			"paused":   func() { f.state.Pause(random.IntN(2) == 0) },
			"cancelled": func() {
				f.state.Cancel(now, fmt.Sprintf("j%02d", random.IntN(jobs+1)))
			},
			"configured": func() {
				changed := slices.Clone(queues)
				for i := range changed {
					changed[i].Priority, changed[i].Stretch = random.IntN(3), 1+3*random.Float64()
				}
				f.state.Configure(model.NewConfig(int64(jobs), changed[random.IntN(3):], []model.Service{{Name: "s"}}, []model.Team{{Name: "t", Weight: 1}, {Name: "capped", Limit: model.Amount{CPU: 4000}}}))
			},
			"handed over": func() {
				data, err := f.state.Snapshot(now)
				next := &fixture{state: New(f.state.config)}
				if err != nil || next.state.Restore(now, 0, data, func(id string) *model.Job { return specs[id] }) != nil {
					t.Fatal("the state can't be handed over")
				}
				f = next
			},
			"taken over": func() {
				next := &fixture{state: New(f.state.config, WithSettleDeadline(now.Add(settleTime)))}
				changes := f.state.Changes(len(specs))
				slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Job, b.Job) }) // The order affects the quota.
				for _, c := range changes {
					next.state.AddJob(now, specs[c.Job], c.Progress)
				}
				f, running = next, nil
				f.addReady("a")
			},
		}
		kinds := append(slices.Repeat([]string{"submit", "done"}, 4), "failed", "lapsed", "lost", "silent", "removed", "reported", "reported", "time", "set back", "paused", "cancelled", "configured", "handed over", "taken over")
		f.addReady(executors...)
		for _, kind := range rapid.SliceOfN(rapid.SampledFrom(kinds), 100, 150).Draw(t, "events") {
			events[kind]()
			kept := describe(f.state.waitingStages(now))
			if fresh := describe(freshOrder(f.state, now)); !slices.Equal(kept, fresh) {
				t.Fatalf("after %q, the order is %q instead of %q", kind, kept, fresh)
			}
			orders := f.state.Decide(now)
			f.confirm(now, orders.Starts)
			running = append(running, orders.Starts...)
			for _, q := range orders.AdviceRequests {
				q.Executors = executors
				f.state.AdviceReceived(now, q, map[string]string{"a": "ticket", "b": "ticket"}, time.Minute)
			}
		}
	})
}
