package owner

import (
	"cmp"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// The cancellation of a job that is never accepted is kept as long as the state of an ended one, and
// then deleted in all partitions in which it may be.
func TestCancellationOfUnknownJobStays(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm, b := newTerm()
	store := &deletionStore{}
	tm.owner.store, tm.bounds.Status = store, 2*time.Minute
	putRow(t, b, board.CancelKey("known"), "t")
	putRow(t, b, board.AcceptKey("known"), board.Accepted{Queue: "q"})
	putRow(t, b, board.CancelKey("unknown"), "t")
	for range 200 {
		tm.expireCancellations(clock.Now())
		clock.Advance(time.Second)
	}
	is.NoErr(tm.group.Wait())
	var want []platform.Key
	for _, part := range board.PartsFor("unknown") {
		want = append(want, platform.Key{Table: board.Table, Part: part, Key: board.CancelKey("unknown")})
	}
	slices.SortFunc(store.deletes, func(a, b platform.Key) int { return cmp.Compare(a.Part, b.Part) })
	slices.SortFunc(want, func(a, b platform.Key) int { return cmp.Compare(a.Part, b.Part) })
	is.Equal(store.deletes, want)
}

// deletionStore keeps what is deleted.
type deletionStore struct {
	Store
	mu      sync.Mutex // guards deletes
	deletes []platform.Key
}

func (s *deletionStore) Write(w *platform.Write) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deletes = append(s.deletes, w.Deletes...)
	return 1, nil
}

// Submissions and the board are polled separately, so a job's cancellation or end may
// arrive before its submission.
func TestSubmissionAfterCancellationOrEnd(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1}}}
	tests := map[string]struct {
		rows  map[string]any
		known bool
		phase model.Phase
	}{
		"accepted":  {known: true},
		"cancelled": {rows: map[string]any{board.CancelKey(job.ID): "t"}, known: true, phase: model.Cancelled},
		"ended":     {rows: map[string]any{board.PhaseKey(job.ID): board.Phase{Phase: model.Done}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			putRow(t, b, board.AcceptKey(job.ID), board.Accepted{Queue: "q"})
			for key, v := range tt.rows {
				putRow(t, b, key, v)
			}
			tm.JobAccepted(job)
			_, phase, known := tm.plan.Phase(job.ID)
			is.Equal(known, tt.known)
			is.Equal(phase, tt.phase)
			is.Equal(len(tm.plan.Changes(1)) == 1, tt.phase == model.Cancelled) // The cancellation has to be recorded.
		})
	}
}
