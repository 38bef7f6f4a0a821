package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// Runs are lost for a minute. Each loss is counted, and one line is logged each ten seconds.
func TestLostWorkIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	tm, _ := newTerm()
	tm.owner.logger = zap.New(core)
	now := tm.owner.clock.Now()
	tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s"})
	tm.plan.AddJob(now, &model.Job{ID: "j", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 4000}}}}, nil)
	counter := tm.owner.metrics.wasted[plan.WastedLapsed]
	before := counter.Count()
	tm.noteWasted(now)
	is.Equal(lines.Len(), 0)
	for i := 1; i <= 60; i++ {
		task := model.Task{Job: "j"}
		tm.plan.Reported(now, "e", plan.Report{RequestedAt: now, Runs: []model.Run{{Task: task, Number: i}}})
		now = now.Add(time.Second)
		tm.plan.Reported(now, "e", plan.Report{RequestedAt: now, Ends: []model.End{{Task: task, Number: i, Outcome: model.RunLapsed}}})
		tm.noteWasted(now)
	}
	is.Equal(counter.Count()-before, int64(60*4000))
	is.Equal(lines.FilterMessage("work lost").Len(), 6)
}
