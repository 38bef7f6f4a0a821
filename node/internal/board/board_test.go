package board

import (
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// heard collects what a Listener is told.
type heard struct {
	accepted  []string
	cancelled []string
}

func (h *heard) OwnerChanged(Owner, int64) {}
func (h *heard) JobAccepted(j *model.Job)  { h.accepted = append(h.accepted, j.ID) }
func (h *heard) JobCancelled(id string)    { h.cancelled = append(h.cancelled, id) }
func row(t *testing.T, key string, version int64, v any) platform.Row {
	t.Helper()
	put, err := Put(Table, Main, key, v)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: version}
}

// A repeated submission that was held up in a partition is written after its
// job has ended, in another partition than the first: the job doesn't start
// again.
func TestLateSubmissionOfEndedJob(t *testing.T) {
	tests := map[string]struct {
		phase model.Phase
		told  int
	}{
		"queued":    {phase: model.Queued, told: 2},
		"running":   {phase: model.Running, told: 2},
		"done":      {phase: model.Done, told: 1},
		"failed":    {phase: model.Failed, told: 1},
		"cancelled": {phase: model.Cancelled, told: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(zap.NewNop())
			h := &heard{}
			b.Listen(h)
			accepted := Accepted{Queue: "q", Job: &model.Job{ID: "j", Queue: "q"}}
			b.Change([]platform.Row{row(t, AcceptKey("j"), 1, accepted)})
			b.Change([]platform.Row{row(t, PhaseKey("j"), 2, Phase{Phase: tt.phase})})
			late := row(t, AcceptKey("j"), 3, accepted)
			late.Part = PartOf("j", 1)
			b.Change([]platform.Row{late})
			is.Equal(len(h.accepted), tt.told)
			e, ok := b.Job("j")
			is.True(ok)
			is.Equal(e.Phase, tt.phase)
		})
	}
}

// A job in two partitions is one job until both rows are gone.
func TestJobInTwoPartitions(t *testing.T) {
	is := is.New(t)
	b := New(zap.NewNop())
	first := row(t, AcceptKey("j"), 1, Accepted{Queue: "q"})
	second := first
	first.Part, second.Part = PartOf("j", 0), PartOf("j", 1)
	b.Change([]platform.Row{first, second, first})
	is.Equal(b.Pending("q"), 1)
	is.Equal(len(b.PartsOf("j")), 2)
	first.Deleted = true
	b.Change([]platform.Row{first})
	is.Equal(b.Pending("q"), 1)
	second.Deleted = true
	b.Change([]platform.Row{second})
	is.Equal(b.Pending("q"), 0)
	_, ok := b.Job("j")
	is.True(!ok)
}

// Two tries of a job go to different partitions.
func TestTriesDiffer(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		is.True(PartOf(id, 0) != PartOf(id, 1))
	}
}

// Whoever asks while the board is read anew finds the old or the new rows, never
// a part of them.
func TestResetIsAtOnce(t *testing.T) {
	is := is.New(t)
	const jobs = 300
	rows := make([]platform.Row, 0, jobs)
	for i := range jobs {
		rows = append(rows, row(t, AcceptKey(strconv.Itoa(i)), int64(i+1), Accepted{Queue: "q"}))
	}
	b := New(zap.NewNop())
	is.True(!b.Ready())
	b.Reset(rows)
	is.True(b.Ready())
	var g errgroup.Group
	var stop atomic.Bool
	g.Go(func() error {
		for range 200 {
			b.Reset(rows)
		}
		stop.Store(true)
		return nil
	})
	least := jobs
	for !stop.Load() {
		least = min(least, b.Pending("q"))
	}
	is.NoErr(g.Wait())
	is.Equal(least, jobs)
}
