package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// Jobs waited for the adviser before each step and at each occurrence, although slots were idle
// before that.
func TestTasksWaitForAdviceThatCouldBeThere(t *testing.T) {
	const runTime = 3 * time.Second
	first := model.Step{Count: 1, Need: oneCore, Estimate: runTime}
	second := model.Step{Count: 2, Need: oneCore, Estimate: runTime, After: []int{0}}
	tests := map[string]struct {
		job     model.Job
		slots   int
		overrun time.Duration // by which the first step takes longer than estimated
		next    model.Task    // that may start after runTime
		asked   int           // requests before that
	}{
		"next step":                  {job: model.Job{Steps: []model.Step{first, second}}, slots: 4, next: model.Task{Job: "j", Step: 1}, asked: 1},
		"next step, long overdue":    {job: model.Job{Steps: []model.Step{first, second}}, slots: 4, overrun: time.Minute, next: model.Task{Job: "j", Step: 1}, asked: 2},
		"next occurrence":            {job: model.Job{Steps: []model.Step{first}, Times: 2, Every: runTime, First: epoch}, slots: 4, next: model.Task{Job: "j", Occur: 1}, asked: 1},
		"next step, no slot is idle": {job: model.Job{Steps: []model.Step{first, second}}, slots: 0, next: model.Task{Job: "j", Step: 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a", "b")
			f.state.SetAdviceSlots(max(1, tt.slots))
			tt.job.ID, tt.job.Queue, tt.job.Team, tt.job.Sent = "j", "advised", "t", epoch
			f.state.AddJob(epoch, &tt.job, nil)
			f.allow(f.state.Decide(epoch).AdviceRequests, epoch.Add(time.Second))
			starts := f.state.Decide(epoch).Starts
			is.Equal(len(starts), 1)
			f.confirm(epoch, starts)
			f.state.SetAdviceSlots(tt.slots)
			end := epoch.Add(runTime + tt.overrun)
			asked := 0
			for now := epoch.Add(10 * time.Millisecond); now.Before(end); now = now.Add(10 * time.Millisecond) {
				orders := f.state.Decide(now)
				is.Equal(len(orders.Starts), 0)
				for _, q := range orders.AdviceRequests {
					asked++
					is.Equal(q.Step, tt.next.StepID())
					is.True(now.After(epoch.Add(runTime / 2))) // Tickets would expire.
					f.state.AdviceReceived(now, q, map[string]string{"a": "ticket", "b": "ticket"}, 2*time.Second)
				}
			}
			is.Equal(asked, tt.asked)
			if tt.job.Times == 0 {
				f.end(end, starts[0], model.RunDone)
			}
			starts = f.state.Decide(end).Starts
			if tt.asked == 0 || tt.overrun > 0 {
				is.Equal(len(starts), 0)
				return
			}
			is.True(len(starts) > 0)
			is.Equal(starts[0].Task.StepID(), tt.next.StepID())
			is.Equal(starts[0].Ticket, "ticket")
		})
	}
}

// An executor began another life, or the hint came and went, after the adviser had been asked
// ahead. The answer must not count.
func TestAnswerAheadIsVoid(t *testing.T) {
	tests := map[string]func(f *fixture){
		"executor's next life": func(f *fixture) {
			f.state.NewIncarnation(epoch, "a")
			f.state.Reported(epoch.Add(time.Second), "a", Report{RequestedAt: epoch.Add(time.Second)})
		},
		"hint": func(f *fixture) {
			f.setHint(true)
			f.state.hintChanged(f.state.jobs["j"])
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a")
			f.state.SetAdviceSlots(4)
			due := epoch.Add(800 * time.Millisecond)
			f.state.AddJob(epoch, &model.Job{ID: "j", Queue: "advised", Team: "t", Steps: []model.Step{{Count: 1, Need: oneCore}}, Times: 1, First: due, Sent: epoch}, nil)
			asked := f.state.Decide(due.Add(-300 * time.Millisecond)).AdviceRequests
			is.Equal(len(asked), 1)
			change(f)
			f.state.AdviceReceived(due, asked[0], nil, time.Second) // A denial.
			orders := f.state.Decide(due.Add(draftInterval))
			is.Equal(len(orders.Starts), 0)
			is.Equal(len(orders.AdviceRequests), 1)
		})
	}
}
