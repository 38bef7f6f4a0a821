package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A forecast by the length of the backlog makes a short job wait for thousands of tasks that the plan serves
// after it.
func TestForecastFollowsTheOrder(t *testing.T) {
	is := is.New(t)
	load := newBacklog(30, 2000, false, "bulk")
	s := load.fixture.state
	job := func(queue string) *model.Job {
		j := &model.Job{ID: "new " + queue, Queue: queue, Team: "t", Sent: load.now, Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 31000}, Estimate: 500 * time.Millisecond}}}
		if queue == "bulk" {
			j.Steps[0].Estimate = 20 * time.Second // It may start later than the tasks that wait.
		}
		j.Terms = &model.Terms{Queue: s.config.Queues[queue]}
		return j
	}
	is.True(s.Forecast(load.now).Unknown)
	for range 250 {
		load.round("bulk")
		s.Forecast(load.now)
	}
	s.AddJob(load.now, job("urgent"), nil) // Forecasts are made for sizes that have been seen.
	s.AddJob(load.now, job("bulk"), nil)
	load.decide()
	f := s.Forecast(load.now)
	is.True(!f.Unknown)
	urgent, bulk := f.Wait(job("urgent"), false), f.Wait(job("bulk"), false)
	is.True(urgent.Room < 500*time.Millisecond)
	is.True(bulk.Room > time.Second)                        // behind the tasks that wait
	is.True(f.Wait(job("urgent"), true).Room > time.Second) // behind all that can be in time
	s.Pause(true)
	s.Decide(load.now)
	is.True(s.Forecast(load.now).Unknown) // The order isn't known while nothing may start.
}

// Margins follow the outcomes of forecasts, and only those of jobs that were given up.
func TestMarginsFollowOutcomes(t *testing.T) {
	is := is.New(t)
	var c checks
	margin := defaultMargin
	for i := range 200 {
		c.add(string(rune('a'+i)), &margin, epoch.Add(time.Second))
	}
	c.ended("a", true, epoch) // with value
	is.Equal(margin, defaultMargin*widenMargin)
	c.ended("b", true, epoch.Add(2*time.Second)) // worthless
	c.ended("c", false, epoch)                   // cancelled
	c.ended("unknown", true, epoch)
	is.Equal(margin, defaultMargin*widenMargin)
	c.expire(epoch.Add(2 * time.Second))
	is.Equal(margin, minMargin)
	is.Equal(len(c.pending), 0)
}
