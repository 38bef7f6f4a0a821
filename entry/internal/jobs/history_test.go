package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
)

const testHistory = time.Hour

// newBook returns a Book for a single host with a manual clock.
func newBook() (*Book, *store.Memory, *timer.Service, record.Host) {
	clock := timer.New(timer.WithManual(time.Unix(1_000_000, 0)))
	platform := store.New(store.WithTimer(clock))
	self := record.Host{Name: "a1", Zone: "a", Link: "a1"}
	b := New(clock, &pair{}, platform, record.NewRing([]string{"a"}, []record.Host{self}), self, metrics.NewRegistry(), WithHistory(testHistory))
	return b, platform, clock, self
}

// TestForgottenIDs checks that an issued id is never accepted again once its job
// may have been deleted, and that its outcome is never reported as not run.
func TestForgottenIDs(t *testing.T) {
	tests := map[string]struct {
		own     bool
		before  bool // a job was accepted when the id was new
		removed bool // that job was deleted afterwards
		age     time.Duration
		faults  store.Faults
		want    Status
	}{
		"new":                            {want: Created},
		"new, sent again":                {before: true, want: Taken},
		"nearly old":                     {age: testHistory/2 - time.Second, want: Created},
		"old, never used":                {age: testHistory / 2, want: Gone},
		"old, kept":                      {before: true, age: testHistory, want: Taken},
		"old, deleted":                   {before: true, removed: true, age: testHistory, want: Gone},
		"old, deleted, platform is down": {before: true, removed: true, age: testHistory, faults: store.Faults{Down: true}, want: InDoubt},
		"own, kept":                      {own: true, before: true, age: testHistory, want: Taken},
		"own, deleted":                   {own: true, before: true, removed: true, age: testHistory, want: Created},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			b, platform, clock, self := newBook()
			id := record.NewIssuer(clock, self.Zone, self.Name).Issue()
			if tt.own {
				id = "team~plan"
			}
			if tt.before {
				state, _ := b.Accept(ctx, wire.Request{ID: id})
				is.Equal(state, Created)
			}
			clock.Advance(tt.age)
			if tt.removed {
				is.NoErr(b.Change(ctx, id, func(j *wire.Job) bool { j.Phase, j.Outcome = wire.Ended, wire.Done; return true }))
				row, err := platform.Get(ctx, ledger.Jobs, b.key(id))
				is.NoErr(err)
				end, err := platform.Get(ctx, ledger.Ends, b.key(id))
				is.NoErr(err)
				is.NoErr(platform.Commit(ctx, ledger.Remove(b.key(id), row.Version, end.Version)))
			}
			platform.SetFaults(tt.faults)
			state, job := b.Accept(ctx, wire.Request{ID: id})
			is.Equal(state, tt.want)
			is.True(job.Outcome != wire.NotRun)
		})
	}
}

// TestHeldTooLong checks that a host doesn't write a job that is not idempotent
// after holding it for so long that the other host may have written it and its rows
// may have been deleted.
func TestHeldTooLong(t *testing.T) {
	tests := map[string]struct {
		idempotent bool
		age        time.Duration
		rows       int
	}{
		"just held":             {rows: 1},
		"held long":             {age: testHistory / 2},
		"held long, idempotent": {idempotent: true, age: testHistory / 2, rows: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			b, platform, clock, _ := newBook()
			is.True(b.holdHere(wire.Job{Request: wire.Request{ID: "team~plan", Idempotent: tt.idempotent}, Zone: "a"}))
			clock.Advance(tt.age)
			b.Write(ctx, func(wire.Job) {})
			rows, err := platform.Scan(ctx, ledger.Jobs, "")
			is.NoErr(err)
			is.Equal(len(rows), tt.rows)
			is.Equal(b.Held(), 0)
		})
	}
}
