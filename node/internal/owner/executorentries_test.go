package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// An executor's entry names another address, but the same life: what runs there goes on. Only a
// later life has lost it, so that its tasks start again.
func TestExecutorWithNewAddressKeepsItsRuns(t *testing.T) {
	tests := map[string]struct {
		restart  bool // the executor begins another life
		restarts int  // tasks that start again
	}{
		"same life":  {},
		"later life": {restart: true, restarts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Now()))
			ctx, cancel := context.WithCancel(context.Background())
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, ctx
			executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
			tm.owner.connect = func(string, string) Executor { return executor }
			tm.plan = plan.New(model.NewConfig(1, []model.Queue{{Name: "q", Service: fake.Service, Attempts: 2}}, []model.Service{{Name: fake.Service}}, nil))
			lives := fake.NewExecutor("e", fake.NewChecker())
			entries := &executorEntries{term: tm}
			report := func(runs ...model.Run) {
				sess := tm.sessions["e"]
				is.True(sess.handleReport(clock.Now(), clock.Boot(), &platform.Report{Clock: time.Hour, Born: sess.born, Runs: runs, Ends: []model.End{{Seq: 7}}}))
			}
			entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			report()
			tm.plan.AddJob(clock.Now(), &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}, nil)
			starts := tm.plan.Decide(clock.Now()).Starts
			is.Equal(len(starts), 1)
			tm.plan.Started(clock.Now(), starts[0])
			clock.Advance(time.Millisecond)
			if tt.restart {
				time.Sleep(5 * time.Millisecond) // Lives differ by the millisecond of their start.
				lives.Restart()
			}
			entries.Change([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:2")}})
			is.Equal(tm.sessions["e"].info.Address, "127.0.0.1:2")
			is.Equal(tm.sessions["e"].takenSeq == 7, !tt.restart)
			clock.Advance(time.Millisecond)
			if tt.restart {
				report()
			} else {
				report(model.Run{Task: starts[0].Task, Number: starts[0].Number})
			}
			is.Equal(len(tm.plan.Decide(clock.Now()).Starts), tt.restarts)
			cancel()
			close(executor.released)
			_ = tm.group.Wait()
		})
	}
}
