package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/platform/fake"
)

// After a restart of all processes, while the store is slow, nothing uses a key that was
// withdrawn or an executor that had left before.
func TestRestartForgetsWhatWasWithdrawn(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	left := r.executors[0]
	var starts atomic.Int64
	address := r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/run-start") {
			starts.Add(1)
		}
		left.ServeHTTP(w, req)
	}))
	r.store.Put("servers", "i-0", left.Entry(fake.Service, address))
	submit := func(n int, key string) int {
		code, _ := r.call(r.hosts[n%2], http.MethodPost, fake.Queue+id(n), key, twoSteps)
		return code
	}
	n := 0
	r.await("a start on the executor", doneTime, func() bool { n++; submit(n, fake.Key); return starts.Load() > 0 })

	const newKey = "new-key"
	r.store.Put("servers", "i-0", nil)
	r.store.Put("op", "config", fake.ConfigOf(4, newKey))
	r.await("the new key to be in force on both hosts", doneTime, func() bool {
		a, _ := r.call(r.hosts[0], http.MethodGet, fake.Queue, newKey, "")
		b, _ := r.call(r.hosts[1], http.MethodGet, fake.Queue, newKey, "")
		return a == http.StatusOK && b == http.StatusOK
	})
	time.Sleep(3 * time.Second) // The owner has noticed that the executor has left.
	before := starts.Load()
	r.store.SetSlow(300 * time.Millisecond)
	for _, h := range r.hosts {
		is.NoErr(h.command.Process.Kill())
		_ = h.command.Wait() // It was killed.
		r.start(h)
	}
	done := 0
	for begin := time.Now(); time.Since(begin) < 6*time.Second; time.Sleep(30 * time.Millisecond) {
		n++
		is.True(submit(n, fake.Key) != http.StatusOK) // The key was withdrawn.
		n++
		if submit(n, newKey) == http.StatusOK {
			done++
		}
	}
	is.True(done > 0)
	is.Equal(starts.Load(), before)
	for _, v := range r.judge.Violations() {
		t.Log(v)
	}
	is.Equal(len(r.judge.Violations()), 0)
}

const (
	// comebackAcceptance and comebackStart bound the time from the start of all processes to the
	// first accepted job and to the first task of a job that was accepted before.
	comebackAcceptance = time.Second
	comebackStart      = 3 * time.Second
)

// After a kill of all hosts for some seconds, the first job is accepted and the first task starts soon, also
// a task that waited before.
func TestAllHostsComeBack(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	ctx, cancel := context.WithCancel(context.Background())
	var heartbeats errgroup.Group
	addresses := make([]string, executorCount)
	for i, e := range r.executors {
		addresses[i] = r.serve(e)
	}
	heartbeats.Go(func() error {
		for ; ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
			for i, e := range r.executors {
				r.store.Put("servers", fmt.Sprintf("i-%d", i), e.Entry(fake.Service, addresses[i]))
			}
		}
		return nil
	})
	n := 0
	submit := func() bool {
		for _, h := range r.hosts {
			n++
			if code, _ := r.call(h, http.MethodPost, fake.Queue+id(n), fake.Key, twoSteps); code == http.StatusOK {
				return true
			}
		}
		return false
	}
	r.await("a start", doneTime, func() bool { submit(); return r.judge.Starts() > 0 })
	time.Sleep(4 * time.Second) // The owner has seen for long enough that no entry is missing.
	last := 0
	for range 3 { // The last job waits for its second step, or for all of its tasks.
		is.True(submit())
		last = n
	}
	for _, h := range r.hosts {
		is.NoErr(h.command.Process.Kill())
	}
	for _, h := range r.hosts {
		_ = h.command.Wait() // It was killed.
	}
	time.Sleep(3 * time.Second)
	began, starts := time.Now(), r.judge.Starts()
	for _, h := range r.hosts {
		r.start(h)
	}
	r.await("a job to be accepted", startTime, submit)
	accepted := time.Since(began)
	r.await("a start", startTime, func() bool { return r.judge.Starts() > starts })
	started := time.Since(began)
	r.await("the waiting job to be done", doneTime, func() bool {
		_, body := r.call(r.hosts[0], http.MethodGet, fake.Queue+id(last), fake.Key, "")
		return body == `{"state":"done"}`
	})
	done := time.Since(began)
	t.Logf("accepted after %v, started after %v, done after %v", accepted, started, done)
	cancel()
	is.NoErr(heartbeats.Wait())
	is.True(accepted < comebackAcceptance)
	is.True(started < comebackStart)
	is.Equal(len(r.judge.Violations()), 0)
}
