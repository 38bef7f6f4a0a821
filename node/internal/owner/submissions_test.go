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

// tables is an empty store that notes which tables are read.
type tables struct {
	Store
	mu   sync.Mutex // guards seen
	seen map[string]bool
}

func (s *tables) Read(table, _, _, _ string) ([]platform.Row, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[table] = true
	return nil, 1, nil
}

func (s *tables) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return nil, 1, nil
}

// The hosts that take over first have what was submitted when they do; for the others
// it is too much.
func TestSubmissionsAreCopiedBySuccessors(t *testing.T) {
	tests := map[string]struct {
		power      int // of this host; another one has 400
		successors []string
		copies     bool
	}{
		"weaker":                    {power: 100, successors: []string{"other"}},
		"weaker, successor":         {power: 100, successors: []string{"other", "h"}, copies: true},
		"weaker, owner has no heir": {power: 100, copies: true},
		"as strong as the others":   {power: 400, successors: []string{"other"}, copies: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, store := board.New(zap.NewNop()), &tables{seen: make(map[string]bool)}
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			o := New(Parts{Host: "h", Process: "p", Clock: clock, Board: b, Store: store, Pacer: steadyPacer{}, Logger: zap.NewNop()})
			show(t, b, board.HostKey("h"), board.Host{Name: "h", Power: tt.power})
			show(t, b, board.HostKey("other"), board.Host{Name: "other", Power: 400})
			show(t, b, board.OwnerKey, board.Owner{Host: "owner", Epoch: 1, Successors: tt.successors})
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			o.copySubmissions(ctx, &g, o.attend() || o.strong())
			is.Equal(o.copied != nil, tt.copies)
			for end := time.Now().Add(10 * time.Second); tt.copies && time.Now().Before(end); time.Sleep(time.Millisecond) {
				store.mu.Lock()
				read := store.seen[board.Submitted]
				store.mu.Unlock()
				if read {
					break
				}
			}
			store.mu.Lock()
			is.Equal(store.seen[board.Submitted], tt.copies)
			store.mu.Unlock()
			o.copySubmissions(ctx, &g, false)
			is.True(o.copied == nil)
			cancel()
			is.NoErr(g.Wait())
		})
	}
}
