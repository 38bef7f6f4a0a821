package store

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

func TestCommit(t *testing.T) {
	tests := map[string]struct {
		ops      []Op
		conflict bool
		want     uint64 // version of a/x afterwards
	}{
		"right version":            {ops: []Op{{Table: "a", Key: "x", Expect: 1, Action: Put}}, want: 2},
		"any version":              {ops: []Op{{Table: "a", Key: "x", Expect: Any, Action: Put}}, want: 2},
		"exists already":           {ops: []Op{{Table: "a", Key: "x", Action: Put}}, conflict: true, want: 1},
		"condition of another row": {ops: []Op{{Table: "a", Key: "x", Expect: 1, Action: Put}, {Table: "b", Key: "y", Expect: 3, Action: Check}}, conflict: true, want: 1},
		"deleted":                  {ops: []Op{{Table: "a", Key: "x", Expect: 1, Action: Delete}}, want: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			m := New()
			is.NoErr(m.Commit(ctx, []Op{{Table: "a", Key: "x", Action: Put, Value: []byte("1")}}))
			err := m.Commit(ctx, tt.ops)
			var conflict *ConflictError
			is.Equal(errors.As(err, &conflict), tt.conflict)
			row, err := m.Get(ctx, "a", "x")
			var missing *MissingError
			is.Equal(errors.As(err, &missing), tt.want == 0)
			is.Equal(row.Version, tt.want)
		})
	}
}

// TestVersionsOfARecreatedRowGoOn guards against a write with a stale expected
// version that matches a deleted and recreated row, which would happen if
// versions restarted at 1.
func TestVersionsOfARecreatedRowGoOn(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := New()
	put := Op{Table: "a", Key: "x", Action: Put}
	is.NoErr(m.Commit(ctx, []Op{put}))
	is.NoErr(m.Commit(ctx, []Op{{Table: "a", Key: "x", Expect: 1, Action: Delete}}))
	is.NoErr(m.Commit(ctx, []Op{put}))
	var conflict *ConflictError
	is.True(errors.As(m.Commit(ctx, []Op{{Table: "a", Key: "x", Expect: 1, Action: Put}}), &conflict))
}

func TestWriteFaults(t *testing.T) {
	tests := map[string]struct {
		faults Faults
		lost   bool
		now    bool // visible at once
		later  bool // visible a second later
	}{
		"well":      {now: true, later: true},
		"down":      {faults: Faults{Down: true}, lost: true},
		"lose":      {faults: Faults{Lose: true}, lost: true, now: true, later: true},
		"lose next": {faults: Faults{Next: 1}, lost: true, now: true, later: true},
		"drop":      {faults: Faults{Drop: 1}, lost: true},
		"late":      {faults: Faults{Late: time.Second}, lost: true, later: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := timer.New(timer.WithManual(time.Unix(0, 0)))
			m := New(WithTimer(s))
			m.SetFaults(tt.faults)
			err := m.Commit(ctx, []Op{{Table: "a", Key: "x", Action: Put}})
			var lost *UnavailableError
			is.Equal(errors.As(err, &lost), tt.lost)
			m.SetFaults(Faults{})
			_, err = m.Get(ctx, "a", "x")
			is.Equal(err == nil, tt.now)
			s.Advance(time.Second)
			_, err = m.Get(ctx, "a", "x")
			is.Equal(err == nil, tt.later)
		})
	}
}

func TestLags(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := timer.New(timer.WithManual(time.Unix(0, 0)))
	m := New(WithTimer(s), WithHostLag(2*time.Second), WithObjectLag(time.Second))
	is.NoErr(m.Announce(ctx, Host{Name: "h1"}))
	is.NoErr(m.PutObject(ctx, "o", []byte("data")))
	_, err := m.Object(ctx, "o")
	var missing *MissingError
	is.True(errors.As(err, &missing))
	s.Advance(time.Second)
	data, err := m.Object(ctx, "o")
	is.NoErr(err)
	is.Equal(string(data), "data")
	list, err := m.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	s.Advance(time.Second)
	list, err = m.Hosts(ctx)
	is.NoErr(err)
	is.Equal(list, []Host{{Name: "h1"}})
	is.NoErr(m.Withdraw(ctx, "h1"))
	s.Advance(2 * time.Second)
	list, err = m.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// TestCommitsOverSeveralTables runs transactions over two tables in both orders.
// They must not deadlock or lose an increment.
func TestCommitsOverSeveralTables(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := New()
	const writers, rounds = 8, 50
	var g errgroup.Group
	for w := range writers {
		g.Go(func() error {
			first, second := "a", "b"
			if w%2 == 0 {
				first, second = second, first
			}
			for range rounds {
				for {
					row, _ := m.Get(ctx, "a", "n")
					n, _ := strconv.Atoi(string(row.Value))
					value := []byte(strconv.Itoa(n + 1))
					ops := map[string]Op{
						"a": {Table: "a", Key: "n", Expect: row.Version, Action: Put, Value: value},
						"b": {Table: "b", Key: "n", Expect: Any, Action: Put, Value: value},
					}
					if m.Commit(ctx, []Op{ops[first], ops[second]}) == nil {
						break
					}
				}
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	for _, table := range []string{"a", "b"} {
		row, err := m.Get(ctx, table, "n")
		is.NoErr(err)
		is.Equal(string(row.Value), strconv.Itoa(writers*rounds))
	}
}
