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

// writes is a store that keeps what is written.
type writes struct {
	Store
	done []*platform.Write
}

func (s *writes) Write(w *platform.Write) (int64, error) {
	s.done = append(s.done, w)
	return int64(len(s.done)), nil
}

// Submissions of ended jobs are deleted many at a time, each of them, and no write is
// larger than the store takes.
func TestTrimTakesManyAtATime(t *testing.T) {
	tests := map[string]struct {
		jobs  int
		tries int // an entry for each partition that a job has rows in
		most  int // writes
	}{
		"few":                    {jobs: 20, tries: 1, most: 17},
		"many":                   {jobs: 1000, tries: 1, most: 48},
		"many in two partitions": {jobs: 1000, tries: 2, most: 64},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			clock, store := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), &writes{}
			tm.owner.clock, tm.owner.store, tm.owner.logger = clock, store, zap.NewNop()
			ids := make([]string, tt.jobs)
			for i := range ids {
				ids[i] = strconv.Itoa(i)
				for try := range tt.tries {
					put, err := board.Put(board.Table, board.PartOf(ids[i], try), board.AcceptKey(ids[i]), board.Accepted{Queue: "q"})
					is.NoErr(err)
					b.Change([]platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: int64(i + 1)}})
				}
			}
			tm.trim(ids[:1])
			first := len(store.done)
			is.Equal(first, tt.tries) // One that is alone doesn't wait.
			for _, id := range ids[1:] {
				tm.trim([]string{id})
			}
			is.Equal(len(store.done), first)
			clock.Advance(trimGap)
			tm.trim(nil)
			deleted := 0
			for _, w := range store.done {
				is.True(w.Size() <= platform.MaxEntries)
				deleted += len(w.Deletes)
			}
			is.Equal(deleted, tt.jobs*tt.tries)
			is.True(len(store.done) <= tt.most)
		})
	}
}
