package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

const (
	twoSteps = `{"spec":"s","steps":[{"count":3,"cpu":1000,"mem_mb":100,"est_ms":150},{"count":2,"cpu":500,"mem_mb":10,"est_ms":150,"after":[0]}]}`
	lasting  = `{"spec":"last","steps":[{"count":2,"cpu":1000,"mem_mb":100,"daemon":true}]}`
	failing  = `{"spec":"fail","steps":[{"count":1,"cpu":1000,"mem_mb":100}]}`
	// doneTime bounds how long jobs with two short steps may take across a takeover: the
	// longest lease of a run and some seconds.
	doneTime = 20 * time.Second
)

func row(value []byte) platform.Row { return platform.Row{Value: value} }

func id(n int) string { return fmt.Sprintf("%016x", n) }

// Runs the built program as three processes on the fake platform. Jobs are submitted and
// completed across a kill of the owner, an outage of the store and a graceful stop.
func TestProcessesRunJobs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })

	// Requests that are rejected.
	status, _ := r.call(r.hosts[0], http.MethodGet, fake.Queue+id(999), fake.Key, "")
	is.Equal(status, http.StatusGone) // Nobody submitted it.
	status, _ = r.call(r.hosts[0], http.MethodGet, fake.Queue+id(999), "wrong", "")
	is.Equal(status, http.StatusUnauthorized)
	status, _ = r.call(r.hosts[0], http.MethodGet, "/nothing/", fake.Key, "")
	is.Equal(status, http.StatusNotFound)

	// Jobs in both queues, while the owner is killed. One of them is submitted twice.
	const jobs = 30
	prefix := func(n int) string {
		if n%3 == 0 {
			return fake.Advised
		}
		return fake.Queue
	}
	submit := func(n int) {
		r.await("a submission to be accepted", doneTime, func() bool {
			for _, h := range r.hosts {
				if code, _ := r.call(h, http.MethodPost, prefix(n)+id(n), fake.Key, twoSteps); code == http.StatusOK {
					return true
				}
			}
			return false
		})
	}
	for n := range jobs {
		submit(n)
		if n == jobs/2 {
			is.NoErr(r.owner().command.Process.Kill())
		}
	}
	submit(0)
	alive := func() *host {
		for _, h := range r.hosts {
			if r.isReady(h) {
				return h
			}
		}
		return r.hosts[0]
	}
	state := func(n int) string {
		_, body := r.call(alive(), http.MethodGet, prefix(n)+id(n), fake.Key, "")
		return body
	}
	r.await("all jobs to be done", doneTime, func() bool {
		for n := range jobs {
			if state(n) != `{"state":"done"}` {
				return false
			}
		}
		return true
	})
	status, body := r.call(alive(), http.MethodGet, fake.Queue, fake.Key, "")
	is.Equal(status, http.StatusOK)
	is.Equal(body, `{"pending":0}`)

	// A job whose task fails until its attempts are used up.
	code, _ := r.call(alive(), http.MethodPost, fake.Queue+id(100), fake.Key, failing)
	is.Equal(code, http.StatusOK)
	r.await("a job to fail", doneTime, func() bool { return state(100) == `{"state":"failed"}` })

	// A job that doesn't end by itself is cancelled.
	code, _ = r.call(alive(), http.MethodPost, fake.Queue+id(101), fake.Key, lasting)
	is.Equal(code, http.StatusOK)
	r.await("lasting tasks to run", doneTime, func() bool { return r.judge.Running() == 2 })
	code, _ = r.call(alive(), http.MethodDelete, fake.Queue+id(101), fake.Key, "")
	is.Equal(code, http.StatusOK)
	r.await("lasting tasks to stop", doneTime, func() bool { return r.judge.Running() == 0 })
	is.Equal(state(101), `{"state":"cancelled"}`)

	// While the store is unavailable, submissions are refused.
	r.store.SetDown(true)
	r.await("a refusal", doneTime, func() bool {
		code, _ := r.call(r.owner(), http.MethodPost, fake.Queue+id(102), fake.Key, twoSteps)
		return code == http.StatusServiceUnavailable
	})
	r.store.SetDown(false)
	r.await("a host to be ready again", doneTime, func() bool { return r.isReady(alive()) })
	submit(103)
	r.await("the next job to be done", doneTime, func() bool { return state(103) == `{"state":"done"}` })

	// On SIGTERM, the owner hands over and exits.
	stopped := r.owner()
	is.NoErr(stopped.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(stopped.command.Wait())
	is.Equal(len(r.judge.Violations()), 0)
}

// Entries of other writers in the table of executors neither end a process nor keep it from
// using the executors.
func TestOddExecutorEntriesStopWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	const entry = `{"service":"` + fake.Service + `","addr":"%s","zone":"z","state":"ready","capacity":{"cpu":%s,"mem_mb":1000},"labels":%s,"born":%s}`
	odd := map[string]string{
		"nested":   fmt.Sprintf(entry, "127.0.0.1:9", "1", strings.Repeat("[", 20000)+strings.Repeat("]", 20000), "1"),
		"overflow": fmt.Sprintf(entry, "127.0.0.1:9", "1e30", "[]", "1"),
		"huge":     fmt.Sprintf(entry, "127.0.0.1:99999", "9223372036854775807", "[]", "9223372036854775807"),
		"port":     fmt.Sprintf(entry, "127.0.0.1:99999", "32000", `["a","r1"]`, "1"),
		"bytes":    "\x00\xff",
	}
	submit := func(n int) {
		r.await("a submission to be accepted", doneTime, func() bool {
			code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(n), fake.Key, twoSteps)
			return code == http.StatusOK
		})
	}
	n := 0
	for name, value := range odd {
		r.store.Put("servers", name, []byte(value))
		submit(n)
		n++
	}
	is.NoErr(r.owner().command.Process.Kill()) // Its successor reads the whole table.
	r.await("a new owner", doneTime, func() bool { return r.owner() != nil && r.isReady(r.owner()) })
	h := r.owner()
	for i := range n {
		r.await("a job to be done", doneTime, func() bool {
			_, body := r.call(h, http.MethodGet, fake.Queue+id(i), fake.Key, "")
			return body == `{"state":"done"}`
		})
	}
	is.Equal(len(r.judge.Violations()), 0)
}
