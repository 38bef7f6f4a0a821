package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform/fake"
)

// stallingLink is the path to an executor. While it is stalled, it keeps calls, whose callers get
// no answer, and delivers them later.
type stallingLink struct {
	executor *fake.Executor

	mu      sync.Mutex // guards the fields below
	stalled bool
	kept    []*http.Request
}

func (l *stallingLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if !l.keep(r, body) {
		l.executor.ServeHTTP(w, r)
		return
	}
	<-r.Context().Done()
}

// keep keeps a call if the link is stalled, and reports whether it does.
func (l *stallingLink) keep(r *http.Request, body []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled {
		kept := httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body))
		kept.Header = r.Header.Clone()
		l.kept = append(l.kept, kept)
	}
	return l.stalled
}

// set stalls the link, or lets later calls pass.
func (l *stallingLink) set(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled = stalled
}

// keeps reports whether a call to path is kept.
func (l *stallingLink) keeps(path string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.kept {
		if r.URL.Path == path {
			return true
		}
	}
	return false
}

// deliver executes the kept calls.
func (l *stallingLink) deliver() {
	l.mu.Lock()
	kept := l.kept
	l.kept = nil
	l.mu.Unlock()
	for _, r := range kept {
		l.executor.ServeHTTP(httptest.NewRecorder(), r)
	}
}

// Tasks ran twice after executors had started again under their IDs and were cut off soon after:
// a poll that was sent to an executor's earlier life was executed by the next one when the cut
// ended, and acknowledged ends that nobody had seen.
func TestCutDeliversCallsToNextLife(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	e := r.executors[0]
	link := &stallingLink{executor: e}
	address := r.serve(link)
	register := func() { r.store.Put("servers", "i-0", e.Entry(fake.Service, address)) }
	register()
	submit := func(n int, count int, ms int) {
		body := fmt.Sprintf(`{"spec":"%s%d x","steps":[{"count":%d,"cpu":2000,"mem_mb":10,"est_ms":%d}]}`, fake.SpecTime, ms, count, ms)
		r.await("the job to be accepted", startTime, func() bool {
			code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(n), fake.Key, body)
			return code == http.StatusOK
		})
	}
	done := func(n int) {
		r.await("the job to be done", doneTime, func() bool {
			_, state := r.call(r.hosts[0], http.MethodGet, fake.Queue+id(n), fake.Key, "")
			return state == `{"state":"done"}`
		})
	}
	const room = 16 * executorCount // tasks that the executors can run at once
	for n := range 3 {
		submit(n, room, 100)
		done(n)
	}
	submit(3, room, 300)
	r.await("a task on the executor", doneTime, func() bool { return e.Running() > 0 })
	link.set(true)
	r.await("a poll on its way", doneTime, func() bool { return link.keeps("/api/hold") })
	e.Restart()
	link.set(false)
	register()
	done(3)
	submit(4, room/2, 300)
	submit(5, room/2, 1200)
	r.await("tasks in the next life", doneTime, func() bool { return e.Running() >= 12 })
	link.set(true)
	r.await("the tasks to end", doneTime, func() bool { return e.Running() == 0 })
	link.deliver()
	link.set(false)
	done(4)
	done(5)
	for _, v := range r.judge.Violations() {
		t.Log(v)
	}
	is.Equal(len(r.judge.Violations()), 0)
}
