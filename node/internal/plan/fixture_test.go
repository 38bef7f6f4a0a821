package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// settleTime is how long a successor waits for executors to report.
const settleTime = 6 * time.Second

var (
	epoch        = time.Unix(1_800_000_000, 0)
	oneCore      = model.Amount{CPU: 1000, Memory: 100}
	fullExecutor = model.Amount{CPU: 32000, Memory: 128000}
)

// fixture is a State with one service and some queues.
type fixture struct {
	state  *State
	config *model.Config
}

// queues has an urgent queue, one for bulk work, and one for each of these with an
// adviser.
var queues = []model.Queue{
	{Name: "urgent", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond},
	{Name: "bulk", Service: "s", Priority: 2, Attempts: 2, Stretch: 2, Slack: time.Second},
	{
		Name: "advised", Service: "s", Priority: 2, Attempts: 2, Stretch: 2, Slack: time.Second, Advised: true,
		Decide: 400 * time.Millisecond, Each: 5 * time.Millisecond, Valid: 2 * time.Second,
	},
	{
		Name: "quick", Service: "s", Priority: 0, Attempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond, Advised: true,
		Decide: 20 * time.Millisecond, Each: time.Millisecond / 2, Valid: 2 * time.Second,
	},
}

func newFixture(opts ...Option) *fixture {
	teams := []model.Team{
		{Name: "t", Weight: 10, Limit: model.Amount{}},
		{Name: "capped", Weight: 10, Limit: model.Amount{CPU: 4000}},
	}
	config := model.NewConfig(1, queues, []model.Service{{Name: "s"}}, teams)
	return &fixture{state: New(config, opts...), config: config}
}

// job returns a job in the urgent queue.
func (f *fixture) job(id string, steps ...model.Step) *model.Job {
	return &model.Job{ID: id, Queue: "urgent", Team: "t", Spec: "spec", Steps: steps, Sent: epoch}
}

// addExecutor adds an executor that hasn't reported.
func (f *fixture) addExecutor(id string) {
	f.state.SetExecutor(model.Executor{ID: id, Service: "s", Address: id, Room: fullExecutor, Kind: "a", Rack: "r1", Labels: []string{"a", "r1"}})
}

// addReady adds executors that have reported.
func (f *fixture) addReady(ids ...string) {
	for _, id := range ids {
		f.addExecutor(id)
		f.state.Reported(epoch, id, Report{RequestedAt: epoch})
	}
	f.state.AllExecutorsListed(epoch)
}

// confirm confirms starts.
func (f *fixture) confirm(now time.Time, starts []Start) {
	for _, o := range starts {
		f.state.Started(now, o)
	}
}

// end reports the end of a run.
func (f *fixture) end(now time.Time, o Start, outcome model.Outcome) {
	f.state.Reported(now, o.Executor, Report{RequestedAt: now, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: outcome}}})
}
