package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

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
