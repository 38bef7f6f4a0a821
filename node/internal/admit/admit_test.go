package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/admit"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// newJob returns a job with an objective of 3 s, whose result has no value after 9 s.
func newJob(id string) *model.Job {
	queue := model.Queue{Name: "q", Service: "s", Stretch: 2, Slack: time.Second}
	return &model.Job{ID: id, Queue: "q", Team: "t", Terms: &model.Terms{Queue: queue}, Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1000}, Estimate: time.Second}}}
}

// newForecast returns a forecast for jobs within and beyond the quota, in milliseconds, without a margin to
// speak of.
func newForecast(within, beyond int64) *plan.Forecast {
	return &plan.Forecast{Queues: map[string]*plan.QueueForecast{"q": {
		Room: [2]plan.Waits{{within, within, within}, {beyond, beyond, beyond}}, RunTime: 100, Pace: 1, Margins: [2]float64{1, 1},
	}}}
}

// A job is rejected only if it is known to end worthless, and never for lack of a forecast.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		change   func(j *model.Job, f *plan.Forecast)
		forecast *plan.Forecast
		age      time.Duration
		waited   time.Duration
		beyond   bool
		rejected bool
		unknown  bool
		retry    time.Duration
	}{
		"no backlog":                  {forecast: &plan.Forecast{}},
		"late but worth something":    {forecast: newForecast(9_900, 0)},
		"worthless":                   {forecast: newForecast(12_000, 0), rejected: true, retry: 10 * time.Second},
		"beyond the quota":            {forecast: newForecast(0, 12_000), beyond: true, rejected: true, retry: 10 * time.Second},
		"others are beyond the quota": {forecast: newForecast(0, 12_000)},
		"has waited already":          {forecast: newForecast(9_000, 0), waited: 2 * time.Second, rejected: true, retry: 7 * time.Second},
		"host hasn't heard":           {unknown: true},
		"owner is too young":          {forecast: &plan.Forecast{Unknown: true}, unknown: true},
		"forecast is too old":         {forecast: newForecast(60_000, 0), age: admit.MaxAge + time.Millisecond, unknown: true},
		"backlog may have shrunk":     {forecast: newForecast(10_500, 0), age: 900 * time.Millisecond},
		"wide margin": {forecast: newForecast(30_000, 0), change: func(_ *model.Job, f *plan.Forecast) {
			f.Queues["q"].Margins[0] = 5
		}},
		"limit of the team": {forecast: newForecast(0, 0), rejected: true, retry: 18 * time.Second, change: func(_ *model.Job, f *plan.Forecast) {
			f.Limits = map[string][]plan.LimitForecast{"t": {{Queue: "q", Waits: [2]plan.Waits{{20_000, 20_000, 20_000}}}}}
		}},
		"executors are free for it": {forecast: newForecast(60_000, 0), change: func(_ *model.Job, f *plan.Forecast) {
			f.Services = map[string]model.Amount{"s": {CPU: 1000}}
		}},
		"recurs": {forecast: newForecast(60_000, 0), change: func(j *model.Job, _ *plan.Forecast) { j.Times = 2 }},
		"lasts":  {forecast: newForecast(60_000, 0), change: func(j *model.Job, _ *plan.Forecast) { j.Steps[0].Lasting = true }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			job := newJob("a")
			if tt.change != nil {
				tt.change(job, tt.forecast)
			}
			v := admit.Decide(admit.Arrival{Job: job, Waited: tt.waited, BeyondQuota: tt.beyond}, tt.forecast, tt.age)
			is.Equal(v.Rejected, tt.rejected)
			is.Equal(v.Unknown, tt.unknown)
			is.Equal(v.Retry, tt.retry)
		})
	}
}

// Clients that are all told the same time return together, and the first may find its place taken by a new job.
func TestReturnsAreSpreadInOrder(t *testing.T) {
	is := is.New(t)
	g, f := admit.New(), newForecast(20_000, 20_000)
	var due []time.Time
	for i := range 12 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		if v := g.Decide(now, newJob(fmt.Sprint(i)), f, 0, 1); v.Rejected {
			due = append(due, now.Add(v.Retry))
		}
	}
	is.True(len(due) >= 10)
	for i := 1; i < len(due); i++ {
		is.True(due[i].Sub(due[i-1]) >= time.Second) // at the queue's pace of one job a second
	}
}

// A job that returns as it was told is preferred over new ones; one that returns too early keeps its place.
func TestReturningJobIsPreferred(t *testing.T) {
	is := is.New(t)
	g, busy := admit.New(), newForecast(12_000, 12_000)
	first := g.Decide(start, newJob("first"), busy, 0, 1)
	is.True(first.Rejected)
	due := start.Add(first.Retry)
	early := g.Decide(start.Add(time.Second), newJob("first"), busy, 0, 1)
	is.True(early.Rejected)
	is.Equal(early.Retry, first.Retry-time.Second)
	almost := newForecast(9_900, 9_900) // A slot is left for one job.
	is.True(g.Decide(due, newJob("new"), almost, 0, 1).Rejected)
	is.True(!g.Decide(due.Add(500*time.Millisecond), newJob("first"), almost, 0, 1).Rejected)
	is.True(!g.Decide(due.Add(600*time.Millisecond), newJob("new"), newForecast(8_000, 8_000), 0, 1).Rejected)
}

// Clients return after 0.4 to 1 s whatever they were told. If that moved the place of others, a persistent client would
// push them back.
func TestEarlyReturnShiftsNobody(t *testing.T) {
	is := is.New(t)
	f := newForecast(20_000, 20_000)
	calm, hasty := admit.New(), admit.New()
	first := hasty.Decide(start, newJob("first"), f, 0, 1)
	calm.Decide(start, newJob("first"), f, 0, 1)
	for i := range 10 {
		now := start.Add(time.Duration(i+1) * 600 * time.Millisecond)
		v := hasty.Decide(now, newJob("first"), f, 0, 1)
		is.True(v.Rejected)
		is.Equal(now.Add(v.Retry).Sub(start.Add(first.Retry)).Truncate(time.Second), time.Duration(0)) // its own place
	}
	for i := range 5 {
		now := start.Add(6*time.Second + time.Duration(i)*time.Millisecond)
		is.Equal(hasty.Decide(now, newJob(fmt.Sprint(i)), f, 0, 1), calm.Decide(now, newJob(fmt.Sprint(i)), f, 0, 1))
	}
}

// Jobs beyond the quota take nothing from it. If they were counted, later jobs within it would be judged as beyond it.
func TestJobsBeyondTheQuotaLeaveItAlone(t *testing.T) {
	is := is.New(t)
	g, f := admit.New(), newForecast(0, 5_000) // late, but worth something
	f.Teams = map[string]*plan.TeamForecast{"t": {Jobs: 0.5, Rate: 10}}
	for i := range 5 {
		is.True(g.Decide(start, newJob(fmt.Sprint(i)), f, 0, 1).Beyond)
	}
	later := start.Add(100 * time.Millisecond)
	is.True(!g.Decide(later, newJob("within"), f, 100*time.Millisecond, 1).Beyond)
	is.True(g.Decide(later, newJob("beyond"), f, 100*time.Millisecond, 1).Beyond)
}

// If all verdicts against a lane were carried out, a wrong forecast would never be found out.
func TestEachEighthVerdictIsASample(t *testing.T) {
	is := is.New(t)
	g, f, accepted := admit.New(), newForecast(60_000, 60_000), 0
	for i := range 80 {
		if v := g.Decide(start, newJob(fmt.Sprint(i)), f, 0, 1); !v.Rejected {
			is.True(v.Sample)
			accepted++
		}
	}
	is.Equal(accepted, 10)
}
