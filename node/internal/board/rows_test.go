package board

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
