package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// startLog counts the starts that executors receive, by epoch of the owner that sent them.
type startLog struct {
	mu     sync.Mutex // guards starts
	starts map[int64]int
}

// wrap returns a handler that counts the starts among the calls of an executor.
func (l *startLog) wrap(e *fake.Executor) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		var order struct {
			Fence int64 `json:"fence"`
		}
		if err == nil && strings.HasSuffix(req.URL.Path, "/run-start") && json.Unmarshal(body, &order) == nil {
			l.mu.Lock()
			l.starts[order.Fence>>32]++ // The upper part of the token is the epoch.
			l.mu.Unlock()
		}
		req.Body = io.NopCloser(bytes.NewReader(body))
		e.ServeHTTP(w, req)
	})
}

// after returns the number of starts by owners of later epochs than the given one.
func (l *startLog) after(epoch int64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for e, starts := range l.starts {
		if e > epoch {
			n += starts
		}
	}
	return n
}

// The owner is killed right after an operator has written the row of a zone. Its successor must
// send no start to the zone, while work goes on elsewhere. Rows for a zone that doesn't exist, in
// another format or without a zone stop nothing. Once the row is deleted, work returns.
func TestSuccessorStartsWorkInEvacuatedZone(t *testing.T) {
	const evacuated = "y"
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	log := &startLog{starts: make(map[int64]int)}
	for _, e := range r.executors[:executorCount/2] {
		e.SetZone(evacuated)
		r.store.Put("servers", e.ID(), e.Entry(fake.Service, r.serve(log.wrap(e))))
	}
	for key, value := range map[string]string{"evacuate/": "{}", "evacuate/nowhere": "{}", "evacuate/z": "z", "other": "{"} {
		r.store.Put(platform.ConfigTable, key, []byte(value))
	}
	n := 0
	submit := func() {
		for _, h := range r.hosts {
			n++
			r.call(h, http.MethodPost, fake.Queue+id(n), fake.Key, twoSteps) // A host may be down.
		}
	}
	r.await("starts in the zone", doneTime, func() bool { submit(); return log.after(0) > 3 })
	owner, epoch := r.owner(), r.epoch()

	r.store.Put(platform.ConfigTable, platform.EvacuationKey(evacuated), []byte("{}"))
	is.NoErr(owner.command.Process.Kill())
	_ = owner.command.Wait() // It was killed.
	r.await("a successor", startTime, func() bool { submit(); return r.epoch() > epoch })
	before := r.judge.Starts()
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		submit()
	}
	is.True(r.judge.Starts() > before+100) // Work goes on in the other zone.
	is.Equal(log.after(epoch), 0)

	r.store.Put(platform.ConfigTable, platform.EvacuationKey(evacuated), nil)
	r.await("work to return to the zone", 2*time.Second, func() bool { submit(); return log.after(epoch) > 0 })
	for _, v := range r.judge.Violations() {
		t.Log(v)
	}
	is.Equal(len(r.judge.Violations()), 0)
}
