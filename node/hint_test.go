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
	tests := map[string]struct {
		ahead  time.Duration // by which executors have a version earlier than the owner
		behind time.Duration // by which they have it later
		deny   bool          // the adviser allows no executor while the hint is gone
	}{
		"executors have versions first": {ahead: 50 * time.Millisecond},
		"the owner has versions first":  {behind: 200 * time.Millisecond},
		"the adviser denies":            {ahead: 50 * time.Millisecond, deny: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2)
			r.adviser.SetDenying(tt.deny)
			r.await("an owner", startTime, func() bool { return r.owner() != nil })
			accepted := r.submitDuringChanges(func(hinted bool, config []byte) {
				time.AfterFunc(tt.ahead, func() { r.store.Put("op", "config", config) })
				time.AfterFunc(tt.behind, func() { r.adviser.Require(hinted) })
			})
			for n := range accepted {
				r.await("all jobs to be done", doneTime, func() bool {
					_, state := r.call(r.hosts[n%len(r.hosts)], http.MethodGet, fake.Queue+id(n), fake.Key, "")
					return state == `{"state":"done"}`
				})
			}
			is.New(t).Equal(len(r.judge.Violations()), 0)
		})
	}
}

// submitDuringChanges submits jobs while publish is called with versions of the configuration
// that give a hint to their queue and take it back. It returns the number of jobs.
func (r *rig) submitDuringChanges(publish func(hinted bool, config []byte)) int {
	r.t.Helper()
	const (
		versions = 13
		gap      = 330 * time.Millisecond // between versions
		jobs     = 6                      // submitted in each gap
	)
	body := fmt.Sprintf(`{"spec":"%s100 x","steps":[{"count":4,"cpu":500,"mem_mb":10,"est_ms":100},{"count":2,"cpu":500,"mem_mb":10,"est_ms":100,"after":[0]}]}`, fake.SpecTime)
	accepted := 0
	for v := range versions {
		hinted := v%2 == 0
		config := fake.ConfigOf(4+v, fake.Key)
		if hinted {
			config = fake.HintedConfig(4+v, fake.QueueName, fake.Key)
		}
		publish(hinted, config)
		for end := time.Now().Add(gap); time.Now().Before(end); time.Sleep(gap / jobs) {
			if code, body := r.call(r.hosts[accepted%len(r.hosts)], http.MethodPost, fake.Queue+id(accepted), fake.Key, body); code != http.StatusOK {
				r.t.Fatalf("job %d isn't accepted, its host's process may have ended: %d %s", accepted, code, body)
			}
			accepted++
		}
	}
	return accepted
}
