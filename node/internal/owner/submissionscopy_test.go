package owner

import (
	"context"
	"strconv"
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
			b.Reset(nil) // It is read.
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

// After a takeover, a resignation or a restart of all hosts, only the hosts that take over
// first read the submissions. If all did, their reads would exceed the weak hosts' links.
func TestFewHostsCopySubmissions(t *testing.T) {
	const hosts, strong = 97, 18
	name := func(i int) string { return "h" + strconv.Itoa(i) }
	tests := map[string]struct {
		owner    *board.Owner // nil for none
		unread   bool         // the board isn't read yet
		most     int
		standbys []string // that copy, among others
	}{
		"board not read":                 {unread: true},
		"owner without successors":       {owner: &board.Owner{Host: "gone", Epoch: 7}, most: maxSuccessors + spareCopies},
		"owner resigned":                 {owner: &board.Owner{Host: "gone", Epoch: 7, Resigned: true, Successors: []string{name(90)}}, most: 1 + spareCopies, standbys: []string{name(90)}},
		"successors are less powerful":   {owner: &board.Owner{Host: "gone", Epoch: 7, Successors: []string{name(90), name(91), name(92)}}, most: maxSuccessors + spareCopies, standbys: []string{name(90), name(92)}},
		"successors are most powerful":   {owner: &board.Owner{Host: "gone", Epoch: 7, Successors: []string{name(0), name(1), name(2)}}, most: maxSuccessors + spareCopies, standbys: []string{name(0), name(1), name(2)}},
		"new deployment, hosts register": {most: hosts},
	}
	for caseName, tt := range tests {
		t.Run(caseName, func(t *testing.T) {
			is := is.New(t)
			b := board.New(zap.NewNop())
			if !tt.unread {
				b.Reset(nil)
			}
			for i := range hosts {
				power := 192
				if i < strong {
					power = 800
				}
				if !tt.unread {
					putRow(t, b, board.HostKey(name(i)), board.Host{Name: name(i), Power: power})
				}
			}
			if tt.owner != nil {
				putRow(t, b, board.OwnerKey, tt.owner)
			}
			copies := make(map[string]bool)
			for i := range hosts {
				o := New(Deps{Host: name(i), Process: "p", Clock: timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), Board: b, Follower: workingFollower{}, Logger: zap.NewNop()})
				if o.updateBoardGap() || o.mostPowerful() {
					copies[name(i)] = true
				}
			}
			is.True(len(copies) <= tt.most)
			for _, s := range tt.standbys {
				is.True(copies[s])
			}
		})
	}
}

// A claim names the remaining successors of the last owner, so that there are some before
// the new owner has chosen its own.
func TestClaimKeepsSuccessors(t *testing.T) {
	is := is.New(t)
	r, _ := newRecorder(t)
	row := r.row
	row.Successors = []string{"h", "a", "b"}
	next, _, err := r.term.owner.claim(row, r.version)
	is.NoErr(err)
	is.Equal(next.Successors, []string{"a", "b"})
}
