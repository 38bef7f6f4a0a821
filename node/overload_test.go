package main

import (
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

// Under overload, jobs are rejected that would end worthless, and never run. When the owner is killed, no forecast is
// left by which the other host may reject.
func TestOverloadAndKilledOwner(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	body := fmt.Sprintf(`{"spec":"%s400 x","steps":[{"count":12,"cpu":4000,"mem_mb":10,"est_ms":200}]}`, fake.SpecTime)
	var jobs, rejected atomic.Int32
	var g errgroup.Group
	for worker := range 6 {
		g.Go(func() error {
			for end := time.Now().Add(startTime); time.Now().Before(end) && rejected.Load() < 5; {
				name := id(int(jobs.Add(1)))
				code, answer := r.call(r.hosts[worker%2], http.MethodPost, fake.Queue+name, fake.Key, body)
				if code == http.StatusServiceUnavailable && strings.Contains(answer, "overloaded") {
					r.judge.Refused(name)
					rejected.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	t.Logf("%d of %d jobs rejected", rejected.Load(), jobs.Load())
	is.True(rejected.Load() >= 5)
	owner := r.owner()
	is.NoErr(owner.command.Process.Kill())
	other := r.hosts[0]
	if owner == other {
		other = r.hosts[1]
	}
	time.Sleep(1200 * time.Millisecond) // The forecast has expired, and a new owner has none for two seconds.
	code, answer := r.call(other, http.MethodPost, fake.Queue+id(int(jobs.Add(1))), fake.Key, body)
	is.True(!strings.Contains(answer, "overloaded"))
	is.Equal(code, http.StatusOK)
	time.Sleep(3 * time.Second)
	is.Equal(len(r.judge.Violations()), 0)
}
