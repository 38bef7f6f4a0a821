package board

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Objectives are fractions of a second, so encoded times must keep that precision.
func TestTimesKeepFractionsOfSeconds(t *testing.T) {
	sent := time.Date(2026, 8, 12, 6, 28, 12, 407_643_000, time.UTC)
	job := &model.Job{ID: "0123456789abcdef", Sent: sent, First: sent.Add(1250 * time.Millisecond)}
	is := is.New(t)
	put, err := Put(Table, Main, AcceptKey(job.ID), Accepted{Job: job})
	is.NoErr(err)
	var got Accepted
	is.NoErr(Decode(platform.Row{Table: Table, Key: put.Key, Value: put.Value}, &got))
	is.Equal(got.Job.Sent.Sub(job.Sent).Abs() < time.Millisecond, true)
	is.Equal(got.Job.First.Sub(job.First).Abs() < time.Millisecond, true)
}

// What a job was accepted under lasts over any change of owner.
func TestTermsAreStored(t *testing.T) {
	is := is.New(t)
	terms := &model.Terms{
		Queue: model.Queue{
			Host: "h", Prefix: "/p/", Service: "s", Priority: 2, Attempts: 3, Stretch: 1.5, Slack: 250 * time.Millisecond,
			Advised: true, Decide: 400 * time.Millisecond, Each: 500 * time.Microsecond, Valid: 2 * time.Second,
		},
		Limit: model.Amount{CPU: 1000, Memory: 100, Accel: 1},
	}
	put, err := Put(Submitted, "jobs0", "j", &model.Job{ID: "j", Queue: "q", Terms: terms})
	is.NoErr(err)
	var job model.Job
	is.NoErr(Decode(platform.Row{Value: put.Value}, &job))
	is.Equal(job.Terms, terms)
}

// A row with a phase that doesn't exist ended the processes that answered for its job.
func TestUnknownPhaseEndsProcess(t *testing.T) {
	tests := map[string]struct{ row, into any }{
		"phase":           {row: &Phase{Phase: 5}, into: new(Phase)},
		"negative phase":  {row: &Phase{Phase: -1}, into: new(Phase)},
		"record":          {row: &model.Progress{Phase: 5}, into: new(model.Progress)},
		"negative record": {row: &model.Progress{Phase: -1}, into: new(model.Progress)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			put, err := Put(Table, Main, PhaseKey("j"), tt.row)
			is.NoErr(err)
			row := platform.Row{Table: put.Table, Key: put.Key, Value: put.Value}
			var damaged *DecodeError
			is.True(errors.As(Decode(row, tt.into), &damaged))
			b := New(zap.NewNop())
			b.Change([]platform.Row{row})
			is.NoErr(b.phases["j"].Phase.Check()) // PhaseBody has a text for each phase.
		})
	}
}
