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

// recordingListener is a Listener that records the IDs it receives.
type recordingListener struct {
	accepted  []string
	cancelled []string
}

func (l *recordingListener) OwnerChanged(Owner, int64) {}
func (l *recordingListener) JobAccepted(j *model.Job)  { l.accepted = append(l.accepted, j.ID) }
func (l *recordingListener) JobCancelled(id string)    { l.cancelled = append(l.cancelled, id) }

// row returns a row of the board with v as its value.
func row(t *testing.T, key string, version int64, v any) platform.Row {
	t.Helper()
	put, err := Put(Table, Main, key, v)
	if err != nil {
		t.Fatal(err)
	}
	return platform.Row{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: version}
}

// A delayed write of a repeated submission may reach another partition after the job
// has ended. The owner must not be notified of it then, since the job would run again.
func TestLateSubmissionOfEndedJob(t *testing.T) {
	tests := map[string]struct {
		phase    model.Phase
		notified int
	}{
		"queued":    {phase: model.Queued, notified: 2},
		"running":   {phase: model.Running, notified: 2},
		"done":      {phase: model.Done, notified: 1},
		"failed":    {phase: model.Failed, notified: 1},
		"cancelled": {phase: model.Cancelled, notified: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := New(zap.NewNop())
			l := &recordingListener{}
			b.Listen(l)
			accepted := Accepted{Queue: "q", Job: &model.Job{ID: "j", Queue: "q"}}
			b.Change([]platform.Row{row(t, AcceptKey("j"), 1, accepted)})
			b.Change([]platform.Row{row(t, PhaseKey("j"), 2, Phase{Phase: tt.phase})})
			late := row(t, AcceptKey("j"), 3, accepted)
			late.Part = PartOf("j", 1)
			b.Change([]platform.Row{late})
			is.Equal(len(l.accepted), tt.notified)
			job, ok := b.Job("j")
			is.True(ok)
			is.Equal(job.Phase, tt.phase)
		})
	}
}

// A job with acceptance rows in two partitions counts once, until both are deleted.
func TestJobInTwoPartitions(t *testing.T) {
	is := is.New(t)
	b := New(zap.NewNop())
	first := row(t, AcceptKey("j"), 1, Accepted{Queue: "q"})
	second := first
	first.Part, second.Part = PartOf("j", 0), PartOf("j", 1)
	b.Change([]platform.Row{first, second, first})
	is.Equal(b.Pending(&model.Queue{Name: "q"}), 1)
	is.Equal(len(b.PartsOf("j")), 2)
	first.Deleted = true
	b.Change([]platform.Row{first})
	is.Equal(b.Pending(&model.Queue{Name: "q"}), 1)
	second.Deleted = true
	b.Change([]platform.Row{second})
	is.Equal(b.Pending(&model.Queue{Name: "q"}), 0)
	_, ok := b.Job("j")
	is.True(!ok)
}

// The first two attempts for a job use different partitions.
func TestAttemptsUseDifferentPartitions(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "b", "c", "d"} {
		is.True(PartOf(id, 0) != PartOf(id, 1))
	}
}

// Readers that run concurrently with Reset see all old rows or all new ones, never an
// incomplete set.
func TestResetIsAtomic(t *testing.T) {
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
		least = min(least, b.Pending(&model.Queue{Name: "q"}))
	}
	is.NoErr(g.Wait())
	is.Equal(least, jobs)
}

// After a queue got another name, the number of its waiting jobs left out those that it had
// accepted before.
func TestRenamedQueueHidesWaitingJobs(t *testing.T) {
	is := is.New(t)
	b := New(zap.NewNop())
	before := &model.Queue{Name: "before", Host: "h", Prefix: "/p/"}
	renamed := &model.Queue{Name: "renamed", Host: "h", Prefix: "/p/"}
	other := &model.Queue{Name: "other", Host: "h", Prefix: "/o/"}
	accept := func(id string, q *model.Queue) platform.Row {
		return row(t, AcceptKey(id), 1, AcceptedJob(&model.Job{ID: id, Queue: q.Name, Terms: &model.Terms{Queue: *q}}))
	}
	b.Reset([]platform.Row{accept("a", before), accept("b", renamed), accept("c", other)})
	is.Equal(b.Pending(renamed), 2)
	is.Equal(b.Pending(other), 1)
	b.Change([]platform.Row{row(t, PhaseKey("a"), 2, Phase{Phase: model.Running})})
	is.Equal(b.Pending(renamed), 1)
	is.Equal(len(b.pending), 2) // The former name is gone.
}
