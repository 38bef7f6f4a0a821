package owner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// An executor counts as recorded only if the store lists it, whatever writes get lost or no
// response, and a successor then knows it. No row grows beyond its bound.
func TestRecordedExecutorIsNotStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rowSize := rapid.SampledFrom([]int{400, platform.DefaultRowSize}).Draw(t, "size of a row")
		u := newUsedExecutors(rowSize)
		store := make(map[int]map[string]board.UsedExecutor)
		known := func(id string) (board.UsedExecutor, bool) {
			for _, row := range store {
				if x, ok := row[id]; ok {
					return x, true
				}
			}
			return board.UsedExecutor{}, false
		}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			wanted := make(map[string]board.UsedExecutor)
			for range rapid.IntRange(0, 100).Draw(t, "executors") {
				id := fmt.Sprintf("i-%0*d", rapid.SampledFrom([]int{3, 190}).Draw(t, "length"), rapid.IntRange(0, 150).Draw(t, "id"))
				wanted[id] = board.UsedExecutor{Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 3).Draw(t, "port"))}
			}
			if oversize := u.set(wanted); len(oversize) > 0 {
				t.Fatalf("%v are too large", oversize)
			}
			puts := u.changed(rapid.IntRange(1, 4).Draw(t, "rows"))
			outcome := rapid.SampledFrom([]string{"written", "written", "lost", "response lost"}).Draw(t, "outcome")
			for _, p := range puts {
				row, err := board.Put(board.Progress, board.Main, board.UsedKey(p.number), board.Used{Executors: p.executors})
				if err != nil || len(row.Value) > rowSize {
					t.Fatalf("row of %d bytes, %v", len(row.Value), err)
				}
				if outcome != "lost" {
					store[p.number] = p.executors
				}
				if outcome == "written" {
					u.written(p)
				}
			}
			listed := make(map[string]bool)
			for _, row := range store {
				for id := range row {
					if listed[id] {
						t.Fatalf("%s is in two rows", id)
					}
					listed[id] = true
				}
			}
			for id, x := range u.stored {
				if got, ok := known(id); !ok || got != x {
					t.Fatalf("%s is recorded as %v, and stored as %v", id, x, got)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "takeover") == 0 {
				u = newUsedExecutors(rowSize)
				for n, row := range store {
					u.restore(n, row)
				}
			}
		}
	})
}

// A row that a single executor fills, or more than fills.
func TestOversizeRecordBlocksOthers(t *testing.T) {
	is := is.New(t)
	u := newUsedExecutors(platform.DefaultRowSize)
	long := board.UsedExecutor{Service: string(make([]byte, usedRowSize))}
	is.Equal(u.set(map[string]board.UsedExecutor{"long": long, "short": {Service: "s"}}), []string{"long"})
	puts := u.changed(maxUsedRows)
	is.Equal(len(puts), 1)
	u.written(puts[0])
	is.Equal(slices.Collect(maps.Keys(u.stored)), []string{"short"})
}

// Tasks ran twice after executors had lost their entries and the owner had gone on using them: its
// successor took executors without an entry, or with one that can't be read, for idle.
func TestSuccessorMissesUnlistedExecutors(t *testing.T) {
	listed := fake.NewExecutor("e", fake.NewChecker()).Entry(fake.Service, "127.0.0.1:1")
	tests := map[string]struct {
		entry   []byte // nil for none
		reports bool
		waited  time.Duration
		starts  int
	}{
		"listed":                       {entry: listed},
		"listed, reports":              {entry: listed, reports: true, starts: 1},
		"unlisted":                     {},
		"unlisted, reports":            {reports: true, starts: 1},
		"unlisted, leases have ended":  {waited: time.Minute, starts: 1},
		"entry can't be read":          {entry: []byte(`{"service":7`)},
		"entry can't be read, reports": {entry: []byte(`{"service":7`), reports: true, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Now()))
			ctx, cancel := context.WithCancel(context.Background())
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower, tm.owner.logger, tm.ctx = clock, unconfirmedBoard{}, zap.NewNop(), ctx
			executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
			tm.owner.connect = func(string, string) Executor { return executor }
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: fake.Service, Attempts: 2}}, []model.Service{{Name: fake.Service}}, nil)
			tm.plan = plan.New(config, plan.WithSettleDeadline(clock.Now().Add(10*time.Second)))
			tm.used.restore(0, map[string]board.UsedExecutor{"e": {Service: fake.Service, Address: "127.0.0.1:1", Zone: "z"}})
			rows := []platform.Row{{Key: "other", Value: fake.NewExecutor("other", fake.NewChecker()).Entry(fake.Service, "127.0.0.1:2")}}
			if tt.entry != nil {
				rows = append(rows, platform.Row{Key: "e", Value: tt.entry})
			}
			entries := &executorEntries{term: tm}
			entries.Reset(rows)
			recordUsed(tm)
			other := tm.sessions["other"]
			is.True(other.handleReport(pollAt(other, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			clock.Advance(tt.waited)
			if tt.reports {
				sess := tm.sessions["e"]
				is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			}
			tm.plan.AddJob(clock.Now(), &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}, &model.Progress{})
			is.Equal(len(tm.plan.Decide(clock.Now()).Starts), tt.starts)
			cancel()
			close(executor.released)
			_ = tm.group.Wait()
		})
	}
}

// An executor gets no work before a successor would know it: not before its record is stored, and
// not under another address than the one that is recorded.
func TestWorkBeforeRecord(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	tm, _ := newTerm()
	tm.owner.clock, tm.owner.boardFollower, tm.owner.logger, tm.ctx = clock, unconfirmedBoard{}, zap.NewNop(), ctx
	executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
	tm.owner.connect = func(string, string) Executor { return executor }
	entries := &executorEntries{term: tm}
	lives := fake.NewExecutor("e", fake.NewChecker())
	for _, address := range []string{"127.0.0.1:1", "127.0.0.1:2"} {
		entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, address)}})
		sess := tm.sessions["e"]
		is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
		is.Equal(tm.plan.CountExclusions(clock.Now()), map[plan.Exclusion]int{plan.Unrecorded: 1})
		recordUsed(tm)
		is.Equal(len(tm.plan.CountExclusions(clock.Now())), 0)
	}
	cancel()
	close(executor.released)
	_ = tm.group.Wait()
}

// An entry that another writer has overwritten holds for as long as it would have been valid. Then
// the executor gets no new work until it has an entry again.
func TestUnreadableEntryNeverExpires(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Now()))
	ctx, cancel := context.WithCancel(context.Background())
	tm, _ := newTerm()
	tm.owner.clock, tm.owner.boardFollower, tm.owner.logger, tm.ctx = clock, unconfirmedBoard{}, zap.NewNop(), ctx
	executor := &blockingExecutor{polled: make(chan struct{}, 1), released: make(chan struct{})}
	tm.owner.connect = func(string, string) Executor { return executor }
	entries := &executorEntries{term: tm}
	lives := fake.NewExecutor("e", fake.NewChecker())
	change := func(value []byte) { entries.Change([]platform.Row{{Key: "e", Value: value}}) }
	excluded := func(passed time.Duration) bool {
		clock.Advance(passed)
		tm.lastEntryChange = clock.Now()
		sess := tm.sessions["e"]
		sess.expireEntry(clock.Now())
		return tm.plan.CountExclusions(clock.Now())[plan.Draining] == 1
	}
	entries.Reset([]platform.Row{{Key: "e", Value: lives.Entry(fake.Service, "127.0.0.1:1")}})
	clock.Advance(time.Minute)
	recordUsed(tm)
	tm.lastEntryChange = clock.Now()
	change([]byte(`{"service":7`))
	is.True(!excluded(time.Second))
	change([]byte(`{"service":7`))
	is.True(!excluded(entryTTL - time.Second))
	is.True(excluded(time.Millisecond))
	change(lives.Entry(fake.Service, "127.0.0.1:1"))
	is.True(!excluded(entryTTL + time.Second))
	cancel()
	close(executor.released)
	_ = tm.group.Wait()
}
