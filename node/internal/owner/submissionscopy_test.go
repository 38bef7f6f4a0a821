package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// readTables is an empty store that records which tables are read.
type readTables struct {
	Store
	mu   sync.Mutex // guards seen
	read map[string]bool
}

func (s *readTables) Read(table, _, _, _ string) ([]platform.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read[table] = true
	return nil, 1, nil
}

func (s *readTables) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return nil, 1, nil
}

// The hosts that take over first keep a copy of the submissions. For the other hosts a copy
// would cost too much.
func TestSubmissionsAreCopiedBySuccessors(t *testing.T) {
	tests := map[string]struct {
		power      int // power of this host; another host has 400
		successors []string
		wantCopy   bool
	}{
		"less powerful":                         {power: 100, successors: []string{"other"}},
		"less powerful, successor":              {power: 100, successors: []string{"other", "h"}, wantCopy: true},
		"less powerful, owner has no successor": {power: 100, wantCopy: true},
		"as powerful as the others":             {power: 400, successors: []string{"other"}, wantCopy: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, store := board.New(zap.NewNop()), &readTables{read: make(map[string]bool)}
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: b, Store: store, Follower: workingFollower{}, Logger: zap.NewNop()})
			putRow(t, b, board.HostKey("h"), board.Host{Name: "h", Power: tt.power})
			putRow(t, b, board.HostKey("other"), board.Host{Name: "other", Power: 400})
			putRow(t, b, board.OwnerKey, board.Owner{Host: "owner", Epoch: 1, Successors: tt.successors})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			o.copySubmissions(ctx, &g, o.updateBoardGap() || o.mostPowerful())
			is.Equal(o.submissions != nil, tt.wantCopy)
			for end := time.Now().Add(10 * time.Second); tt.wantCopy && time.Now().Before(end); time.Sleep(time.Millisecond) {
				store.mu.Lock()
				read := store.read[board.Submitted]
				store.mu.Unlock()
				if read {
					break
				}
			}
			store.mu.Lock()
			is.Equal(store.read[board.Submitted], tt.wantCopy)
			store.mu.Unlock()
			o.copySubmissions(ctx, &g, false)
			is.True(o.submissions == nil)
			cancel()
			is.NoErr(g.Wait())
		})
	}
}
