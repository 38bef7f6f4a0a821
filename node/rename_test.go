package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform/fake"
)

// A queue got another name, at the same address, while jobs of it were at work. All hosts
// answered 410 for them, and after a change of owner their next steps never started.
func TestRenamedQueueLosesItsJobs(t *testing.T) {
	const taskTime = 3 * time.Second
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	body := fmt.Sprintf(`{"spec":"%s%d x","steps":[{"count":2,"cpu":1000,"mem_mb":10,"est_ms":3000},{"count":2,"cpu":1000,"mem_mb":10,"est_ms":3000,"after":[0]}]}`,
		fake.SpecTime, taskTime.Milliseconds())
	for n, spec := range []string{body, lasting} {
		code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(n), fake.Key, spec)
		is.Equal(code, http.StatusOK)
	}
	r.await("both jobs to run", doneTime, func() bool { return r.judge.Running() == 4 })

	// The configuration also lacks the other queue from now on, which shows that it is in force.
	config := bytes.Replace(fake.RenamedConfig(4, "renamed", fake.Key), []byte(`"prefix":"`+fake.Advised+`"`), []byte(`"prefix":"/elsewhere/"`), 1)
	r.store.Put("op", "config", config)
	for _, h := range r.hosts {
		r.await("the configuration to be in force", doneTime, func() bool {
			code, _ := r.call(h, http.MethodGet, fake.Advised, fake.Key, "")
			return code == http.StatusNotFound
		})
		for n := range 2 {
			code, state := r.call(h, http.MethodGet, fake.Queue+id(n), fake.Key, "")
			is.Equal(code, http.StatusOK)
			is.Equal(state, `{"state":"running"}`)
		}
	}
	code, _ := r.call(r.hosts[1], http.MethodDelete, fake.Queue+id(1), fake.Key, "")
	is.Equal(code, http.StatusOK)

	stopped := r.owner()
	is.NoErr(stopped.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(stopped.command.Wait())
	for _, h := range r.hosts {
		if h == stopped {
			continue
		}
		r.await("the job to be done", doneTime, func() bool {
			_, state := r.call(h, http.MethodGet, fake.Queue+id(0), fake.Key, "")
			return state == `{"state":"done"}`
		})
	}
	is.Equal(r.judge.Running(), 0) // The other job was cancelled.
	is.Equal(len(r.judge.Violations()), 0)
}
