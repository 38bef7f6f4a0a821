package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// Jobs wait that can't all be in time. An operator sees how many are deferred, and one line a second.
func TestDeferredWorkIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	tm, _ := newTerm()
	tm.owner.logger = zap.New(core)
	now := tm.owner.clock.Now()
	queue := model.Queue{Name: "q", Service: "s", Attempts: 1, Stretch: 2, Slack: time.Second}
	tm.plan.Configure(model.NewConfig(1, []model.Queue{queue}, []model.Service{{Name: "s"}}, []model.Team{{Name: "t", Limit: model.Amount{CPU: 1000}}}))
	tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s", Room: model.Amount{CPU: 9000, Memory: 9000}})
	tm.plan.Reported(now, "e", plan.Report{RequestedAt: now})
	tm.plan.AllExecutorsListed(now)
	counter := tm.owner.metrics.deferrals[plan.DeferredByLimit]
	before := counter.Count()
	tm.noteDeferred(now)
	is.Equal(lines.Len(), 0)
	for i := range 9 {
		step := model.Step{Count: 1, Need: model.Amount{CPU: 1000}, Estimate: time.Second}
		tm.plan.AddJob(now, &model.Job{ID: fmt.Sprint(i), Queue: "q", Team: "t", Steps: []model.Step{step}, Sent: now}, nil)
	}
	for range 20 {
		tm.plan.Decide(now)
		tm.noteDeferred(now)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(tm.owner.metrics.deferred.Value(), int64(tm.plan.Deferred()))
	is.True(tm.plan.Deferred() > 0)
	is.True(counter.Count() > before)
	is.Equal(lines.FilterMessage("work deferred").Len(), 2)
}
