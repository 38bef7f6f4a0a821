package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform/fake"
)

// handoverTime bounds how long a cell may stay on a less powerful host once a more powerful
// one is ready.
const handoverTime = 2 * time.Second

// A less powerful host takes the cell over while all others are lost. It hands the cell over
// soon after a more powerful host is back, and what runs goes on.
func TestCellReturnsToMorePowerfulHost(t *testing.T) {
	is := is.New(t)
	r := newRigWithCPU(t, []int{192, 800})
	weak, strong := r.hosts[0], r.hosts[1]
	r.await("the more powerful host to own the cell", startTime, func() bool { return r.owner() == strong })
	code, _ := r.call(weak, http.MethodPost, fake.Queue+id(1), fake.Key, lasting)
	is.Equal(code, http.StatusOK)
	r.await("lasting tasks to run", doneTime, func() bool { return r.judge.Running() == 2 })
	is.NoErr(strong.command.Process.Kill())
	_ = strong.command.Wait() // It was killed.
	r.await("the less powerful host to own the cell", startTime, func() bool { return r.owner() == weak })
	r.start(strong)
	r.await("the more powerful host to be ready", startTime, func() bool { return r.isReady(strong) })
	r.await("the cell to return", handoverTime, func() bool { return r.owner() == strong })
	is.Equal(r.judge.Running(), 2)
	for n := range 5 {
		code, _ = r.call(weak, http.MethodPost, fake.Queue+id(10+n), fake.Key, twoSteps)
		is.Equal(code, http.StatusOK)
	}
	r.await("jobs to be done", doneTime, func() bool {
		for n := range 5 {
			if _, body := r.call(weak, http.MethodGet, fake.Queue+id(10+n), fake.Key, ""); body != fmt.Sprintf(`{"state":%q}`, "done") {
				return false
			}
		}
		return true
	})
	is.Equal(len(r.judge.Violations()), 0)
}
