package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// recordingStore is a store that only records the writes.
type recordingStore struct {
	Store
	writes []*platform.Write
}

func (s *recordingStore) Write(w *platform.Write) (int64, error) {
	s.writes = append(s.writes, w)
	return int64(len(s.writes)), nil
}

// The submissions of ended jobs are deleted in large batches. None is left out, and no
// write exceeds the store's limit of entries.
func TestTrimBatchesDeletes(t *testing.T) {
	tests := map[string]struct {
		jobs      int
		parts     int // number of partitions with rows of each job
		maxWrites int // number of writes allowed
	}{
		"few":                    {jobs: 20, parts: 1, maxWrites: 17},
		"many":                   {jobs: 1000, parts: 1, maxWrites: 48},
		"many in two partitions": {jobs: 1000, parts: 2, maxWrites: 64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			clock, store := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), &recordingStore{}
			tm.owner.clock, tm.owner.store, tm.owner.logger = clock, store, zap.NewNop()
			ids := make([]string, tt.jobs)
			for i := range ids {
				ids[i] = strconv.Itoa(i)
				for part := range tt.parts {
					put, err := board.Put(board.Table, board.PartOf(ids[i], part), board.AcceptKey(ids[i]), board.Accepted{Queue: "q"})
					is.NoErr(err)
					b.Change([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: int64(i + 1)}})
				}
			}
			tm.trimSubmissions(ids[:1])
			first := len(store.writes)
			is.Equal(first, tt.parts) // The first job is written at once.
			for _, id := range ids[1:] {
				tm.trimSubmissions([]string{id})
			}
			is.Equal(len(store.writes), first)
			clock.Advance(trimInterval)
			tm.trimSubmissions(nil)
			deleted := 0
			for _, w := range store.writes {
				is.True(w.Size() <= platform.MaxEntries)
				deleted += len(w.Deletes)
			}
			is.Equal(deleted, tt.jobs*tt.parts)
			is.True(len(store.writes) <= tt.maxWrites)
		})
	}
}
