package main

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform/fake"
)

// Tasks ran twice after an outage of the store: the owner went on starting them, executors'
// entries expired meanwhile, and the owner was lost right before the store's return. Its
// successor took the owner's row for new, though it was as old as the outage, and started the
// tasks again without waiting for the executors to register again. It did the same two seconds
// later if they didn't, since they couldn't reach the store.
func TestExpiredEntriesHideRunsAfterOutage(t *testing.T) {
	tests := map[string]bool{"entries come back": true, "entries stay away": false}
	for name, back := range tests {
		t.Run(name, func(t *testing.T) { testExpiredEntries(t, back) })
	}
}

// testExpiredEntries plays an outage in which entries expire, and come back after it or don't.
func testExpiredEntries(t *testing.T, back bool) {
	t.Helper()
	const (
		taskTime  = 4 * time.Second
		heartbeat = 500 * time.Millisecond
		width     = 6 // tasks of the second step, three of which fill an executor
	)
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	addresses := make([]string, executorCount)
	for i, e := range r.executors {
		addresses[i] = r.serve(e)
	}
	// renew renews the entries of executors until the returned function is called.
	renew := func(executors []int) func() {
		ctx, cancel := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error {
			for ; ctx.Err() == nil; time.Sleep(heartbeat) {
				for _, i := range executors {
					r.store.Put("servers", fmt.Sprintf("i-%d", i), r.executors[i].Entry(fake.Service, addresses[i]))
				}
			}
			return nil
		})
		return func() { cancel(); is.NoErr(g.Wait()) }
	}
	stopAll := renew([]int{0, 1, 2, 3, 4, 5})
	time.Sleep(4 * time.Second) // The owner has seen for long enough that no entry is missing.
	body := fmt.Sprintf(`{"spec":"%s%d x","steps":[{"count":1,"cpu":1000,"mem_mb":10,"est_ms":4000},{"count":%d,"cpu":10000,"mem_mb":10,"est_ms":4000,"after":[0]}]}`,
		fake.SpecTime, taskTime.Milliseconds(), width)
	r.await("the job to be accepted", startTime, func() bool {
		code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(1), fake.Key, body)
		return code == http.StatusOK
	})
	r.await("the first step to run", doneTime, func() bool { return r.judge.Running() == 1 })
	var progress model.Progress
	r.await("the run to be recorded", doneTime, func() bool {
		_ = board.Decode(row(r.store.Get(board.Progress, board.Main, id(1))), &progress) // There is no row at first.
		return len(progress.Occurs[0].Stages[0].Runs) == 1
	})
	stopAll()
	r.store.SetDown(true)
	r.await("the second step to run", doneTime, func() bool { return r.judge.Running() == width })
	var kept, expired []int
	for i, e := range r.executors {
		name := fmt.Sprintf("i-%d", i)
		// The successor has to learn from its executor that the first step is done.
		if e.Running() == 0 || name == progress.Occurs[0].Stages[0].Runs[0].Executor {
			kept = append(kept, i)
			continue
		}
		expired = append(expired, i)
		r.store.Put("servers", name, nil)
	}
	is.True(len(expired) > 0)
	is.NoErr(r.owner().command.Process.Kill())
	r.store.SetDown(false)
	stopKept := renew(kept)
	time.Sleep(2 * time.Second) // Entries that expired in an outage are back two seconds after it.
	if !back {
		expired = nil
	}
	stopExpired := renew(expired)
	r.await("the job to be done", doneTime, func() bool {
		for _, h := range r.hosts {
			if _, state := r.call(h, http.MethodGet, fake.Queue+id(1), fake.Key, ""); state == `{"state":"done"}` {
				return true
			}
		}
		return false
	})
	stopKept()
	stopExpired()
	for _, v := range r.judge.Violations() {
		t.Log(v)
	}
	is.Equal(len(r.judge.Violations()), 0)
}
