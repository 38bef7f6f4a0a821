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
)

// startCounter is an executor that counts the starts that it receives.
type startCounter struct {
	Executor
	starts int
	lost   bool // starts get no answer
}

func (e *startCounter) Start(platform.StartOrder, time.Duration) (time.Duration, error) {
	e.starts++
	if e.lost {
		return 0, &platform.LostError{Call: "start"}
	}
	return time.Hour, nil
}

// A start that waits in an executor's queue isn't sent once the plan has given the run up:
// the task may have started elsewhere by then.
func TestQueuedStartIsDroppedOnceObsolete(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}
	tests := map[string]struct {
		change func(p *plan.State, now time.Time)
		sent   int
	}{
		"wanted":                     {change: func(*plan.State, time.Time) {}, sent: 1},
		"leases of executor expired": {change: func(p *plan.State, _ time.Time) { p.RemoveRuns("e") }},
		"job cancelled":              {change: func(p *plan.State, now time.Time) { p.Cancel(now, job.ID) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			executor := &startCounter{}
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, context.Background()
			tm.owner.connect = func(string, string) Executor { return executor }
			tm.bounds.Lease = leaseDuration
			tm.confirm(clock.Boot(), minAuthority)
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil)
			tm.plan = plan.New(config)
			sess := newSession(tm, model.Executor{ID: "e", Service: "s", Room: model.Amount{CPU: 9}})
			tm.sessions["e"] = sess
			tm.plan.SetExecutor(sess.info)
			tm.plan.AllExecutorsListed(tm.owner.clock.Now())
			is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			tm.plan.AddJob(clock.Now(), job, nil)
			starts := tm.plan.Decide(clock.Now()).Starts
			is.Equal(len(starts), 1)
			tt.change(tm.plan, clock.Now())
			sess.start(&starts[0])
			is.Equal(executor.starts, tt.sent)
		})
	}
}
