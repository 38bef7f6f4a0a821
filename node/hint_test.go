package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform/fake"
)

// A queue's hint came and went while jobs of it started. Executors had it earlier than the
// owner and refused starts without a ticket, and each such refusal ended the owner's process.
func TestHintComesAndGoesEndsProcess(t *testing.T) {
	const (
		versions = 24
		gap      = 330 * time.Millisecond // between versions
		ahead    = 50 * time.Millisecond  // by which executors have a version earlier than the owner
		jobs     = 6                      // submitted in each gap
	)
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	body := fmt.Sprintf(`{"spec":"%s100 x","steps":[{"count":4,"cpu":500,"mem_mb":10,"est_ms":100},{"count":2,"cpu":500,"mem_mb":10,"est_ms":100,"after":[0]}]}`, fake.SpecTime)
	accepted := 0
	for v := range versions {
		hinted := v%2 == 0
		config := fake.ConfigOf(4+v, fake.Key)
		if hinted {
			config = fake.HintedConfig(4+v, fake.QueueName, fake.Key)
		}
		r.adviser.Require(hinted)
		newer := time.AfterFunc(ahead, func() { r.store.Put("op", "config", config) })
		defer newer.Stop()
		for end := time.Now().Add(gap); time.Now().Before(end); time.Sleep(gap / jobs) {
			code, _ := r.call(r.hosts[accepted%len(r.hosts)], http.MethodPost, fake.Queue+id(accepted), fake.Key, body)
			is.Equal(code, http.StatusOK) // A process that ended would refuse the connection.
			accepted++
		}
	}
	for n := range accepted {
		r.await("all jobs to be done", doneTime, func() bool {
			_, state := r.call(r.hosts[n%len(r.hosts)], http.MethodGet, fake.Queue+id(n), fake.Key, "")
			return state == `{"state":"done"}`
		})
	}
	is.Equal(len(r.judge.Violations()), 0)
}
