package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// Jobs whose queue had been removed from the configuration, or had got another name, stood
// still under a new owner: it knew no service for them, and failed them after one attempt. Those
// of a removed team had no limit.
func TestRemovedQueueStopsItsJobs(t *testing.T) {
	accepted := model.NewConfig(1, []model.Queue{{Name: "gone", Service: "s", Attempts: 2, Priority: 2}}, []model.Service{{Name: "s"}},
		[]model.Team{{Name: "former", Weight: 10, Limit: model.Amount{CPU: 2000}}})
	terms := &model.Terms{Queue: accepted.Queues["gone"], Limit: accepted.Teams["former"].Limit}
	present := model.Queue{Name: "gone", Service: "s", Attempts: 3}
	tests := map[string]struct {
		terms    *model.Terms
		config   *model.Config // of the new owner
		starts   int
		attempts int // failed runs of a task after which the job has failed
	}{
		"removed":               {terms: terms, config: model.NewConfig(2, nil, []model.Service{{Name: "s"}}, nil), starts: 2, attempts: 2},
		"changed":               {terms: terms, config: model.NewConfig(2, []model.Queue{present}, []model.Service{{Name: "s"}}, []model.Team{{Name: "former", Limit: model.Amount{CPU: 3000}}}), starts: 3, attempts: 3},
		"no terms, still there": {config: accepted, starts: 2, attempts: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(tt.config)
			f := &fixture{state: s, config: tt.config}
			f.addReady("a")
			spec := &model.Job{ID: "j", Queue: "gone", Team: "former", Steps: []model.Step{{Count: 4, Need: oneCore}}, Sent: epoch, Terms: tt.terms}
			s.AddJob(epoch, spec, &model.Progress{Phase: model.Running})
			now := epoch
			starts := s.Decide(now).Starts
			is.Equal(len(starts), tt.starts)
			for attempt := 1; attempt <= tt.attempts; attempt++ {
				failed := starts[0]
				f.confirm(now, []Start{failed})
				s.Reported(now, "a", Report{RequestedAt: now, Ends: []model.End{{Seq: int64(attempt), Task: failed.Task, Number: failed.Number, Outcome: model.RunFailed}}})
				_, phase, _ := s.Phase("j")
				is.Equal(s.jobs["j"].phase.Final(), attempt == tt.attempts)
				is.Equal(phase, model.Running) // Its end isn't recorded yet.
				now = now.Add(time.Minute)     // A backoff of the executor has ended.
				starts = nil
				for _, o := range s.Decide(now).Starts {
					if o.Task == failed.Task {
						starts = append(starts, o)
					}
				}
			}
		})
	}
}
