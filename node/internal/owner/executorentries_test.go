package owner

import (
	"context"
	"fmt"
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
				is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour, Born: sess.born, Runs: runs, Ends: []model.End{{Seq: 7}}}))
			}
			entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			recordUsed(tm)
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
			recordUsed(tm)
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

// An executor restarts long after the takeover, and its new life doesn't answer at first. A start
// that was on its way may run there until the longest lease has ended, so its task must not
// start elsewhere before that.
func TestSilentNewIncarnationMayRunStarts(t *testing.T) {
	tests := map[string]struct {
		silence  time.Duration
		restarts int // of the task
	}{
		"within the longest lease": {silence: time.Second},
		"after it":                 {silence: 10 * time.Second, restarts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Now()))
			ctx, cancel := context.WithCancel(context.Background())
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, ctx
			tm.bounds.Lease, tm.began = 6*time.Second, clock.Now().Add(-time.Hour)
			executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
			tm.owner.connect = func(string, string) Executor { return executor }
			tm.plan = plan.New(model.NewConfig(1, []model.Queue{{Name: "q", Service: fake.Service, Attempts: 2}}, []model.Service{{Name: fake.Service}}, nil))
			lives := fake.NewExecutor("e", fake.NewChecker())
			entries := &executorEntries{term: tm}
			entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			recordUsed(tm)
			is.True(tm.sessions["e"].handleReport(pollAt(tm.sessions["e"], clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			tm.plan.AddJob(clock.Now(), &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}, nil)
			is.Equal(len(tm.plan.Decide(clock.Now()).Starts), 1) // Without an answer.
			time.Sleep(5 * time.Millisecond)                     // Lives differ by the millisecond of their start.
			lives.Restart()
			entries.Change([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			recordUsed(tm)
			tm.plan.SetExecutor(model.Executor{ID: "other", Service: fake.Service, Room: model.Amount{CPU: 9}})
			tm.plan.Reported(clock.Now(), "other", plan.Report{RequestedAt: clock.Now()})
			clock.Advance(tt.silence)
			is.True(tm.sessions["e"].handleFailure(&platform.LostError{}))
			is.Equal(len(tm.plan.Decide(clock.Now()).Starts), tt.restarts)
			cancel()
			close(executor.released)
			_ = tm.group.Wait()
		})
	}
}

// An executor began another life as another kind, and a poll reached that life before its entry
// was read. The owner kept the labels of the earlier one, so that tasks started without the label
// that they require.
func TestNewIncarnationKeepsOldLabels(t *testing.T) {
	tests := map[string]struct {
		entryFirst bool
		late       bool // the earlier entry is read once more after the poll
		moved      bool // the later life has another address
	}{
		"poll first":             {},
		"poll first, late entry": {late: true},
		"poll first, moved":      {moved: true},
		"entry first":            {entryFirst: true},
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
			first := time.UnixMilli(1_800_000_000_000)
			port := 1
			entry := func(born time.Time, kind string) []platform.Row {
				value := fmt.Sprintf(`{"service":%q,"addr":"127.0.0.1:%d","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":32768},"labels":[%q,"r1"],"born":%d}`, fake.Service, port, kind, born.UnixMilli())
				return []platform.Row{{Key: "e", Value: []byte(value)}}
			}
			report := func(born time.Time) {
				clock.Advance(10 * time.Millisecond)
				is.True(tm.sessions["e"].handleReport(pollAt(tm.sessions["e"], clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour, Born: born}))
			}
			entries := &executorEntries{term: tm}
			entries.Reset(entry(first, "a"))
			recordUsed(tm)
			report(first)
			second := first.Add(time.Minute)
			if tt.entryFirst {
				entries.Change(entry(second, "b"))
				recordUsed(tm)
			}
			report(second)
			report(second)
			if tt.late {
				entries.Change(entry(first, "a"))
				recordUsed(tm)
			}
			for i, kind := range []string{"a", "b"} {
				tm.plan.AddJob(clock.Now(), &model.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []model.Step{{Count: 1, Label: kind, Need: model.Amount{CPU: 1}}}}, nil)
			}
			if !tt.entryFirst {
				is.Equal(len(tm.plan.Decide(clock.Now()).Starts), 0) // Its kind isn't known.
				if tt.moved {
					port = 2
				}
				entries.Change(entry(second, "b"))
				recordUsed(tm)
			}
			starts := tm.plan.Decide(clock.Now()).Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Task.Job, fmt.Sprintf("%016x", 1))
			cancel()
			close(executor.released)
			_ = tm.group.Wait()
		})
	}
}

// A call of a session that had been replaced failed later. Its failure closed the session that
// had taken its place, or made the executor silent and its runs count as gone.
func TestLateFailureClosesNewSession(t *testing.T) {
	tests := map[string]func(old *session){
		"poll finds another life":  func(old *session) { old.handleFailure(&platform.IncarnationError{}) },
		"poll fails":               func(old *session) { old.handleFailure(&platform.LostError{}) },
		"start finds another life": func(old *session) { old.dropIncarnation() },
		"closed again":             func(old *session) { old.close() },
		"poll for an order fails":  func(old *session) { old.markSilent(&platform.LostError{}) },
	}
	for name, fail := range tests {
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
			entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			recordUsed(tm)
			old := tm.sessions["e"]
			time.Sleep(5 * time.Millisecond) // Lives differ by the millisecond of their start.
			lives.Restart()
			entries.Change([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
			recordUsed(tm)
			next := tm.sessions["e"]
			is.True(next != old)
			is.True(next.handleReport(pollAt(next, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour, Born: next.born}))
			tm.plan.AddJob(clock.Now(), &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}, nil)
			starts := tm.plan.Decide(clock.Now()).Starts
			is.Equal(len(starts), 1)
			tm.plan.Started(clock.Now(), starts[0])
			clock.Advance(time.Minute)
			fail(old)
			is.Equal(tm.sessions["e"], next)
			is.Equal(tm.plan.RunsOn("e"), 1)
			is.Equal(len(tm.plan.CountExclusions(clock.Now())), 0)
			cancel()
			close(executor.released)
			_ = tm.group.Wait()
		})
	}
}

// An executor that goes on becomes cold, for example after an evacuation. The plan must learn of
// that and of its end, and not each time that the entry is renewed.
func TestColdEntryReachesPlan(t *testing.T) {
	is := is.New(t)
	sess := &session{hasEntry: true}
	is.True(sess.updateEntry(model.Executor{Cold: 2 * time.Second}))
	is.True(!sess.updateEntry(model.Executor{Cold: time.Second}))
	is.True(sess.updateEntry(model.Executor{}))
	is.True(!sess.updateEntry(model.Executor{}))
}
