package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/node/internal/board"
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

// handoverGap bounds the time without a start while the cell moves by a planned stop. Reading the records
// and a round of reports come on top without the state.
const handoverGap = time.Second

// logged returns how often the hosts' logs have a message.
func (r *rig) logged(message string) int {
	r.t.Helper()
	n := 0
	for _, h := range r.hosts {
		data, err := os.ReadFile(h.path + ".log")
		if err != nil {
			r.t.Fatal(err)
		}
		n += strings.Count(string(data), `"`+message+`"`)
	}
	return n
}

// load submits short jobs to hosts that are ready until the returned function is called, which returns the
// numbers of the accepted ones.
func (r *rig) load(first int) (stop func() (accepted []int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	var accepted []int
	g.Go(func() error {
		for n := first; ctx.Err() == nil; n++ { // About as many as the team may run.
			time.Sleep(50 * time.Millisecond)
			for _, h := range r.hosts {
				if code, _ := r.call(h, http.MethodPost, fake.Queue+id(n), fake.Key, twoSteps); code == http.StatusOK {
					accepted = append(accepted, n)
					break
				}
			}
		}
		return nil
	})
	return func() []int { cancel(); _ = g.Wait(); return accepted }
}

// A planned stop of the owner under load: the successor goes on with its state, so that jobs start without a
// gap, what runs goes on, and no task runs twice.
func TestStopHandsOverStateUnderLoad(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(1), fake.Key, lasting)
	is.Equal(code, http.StatusOK)
	r.await("lasting tasks to run", doneTime, func() bool { return r.judge.Running() == 2 })
	stop := r.load(100)
	time.Sleep(3 * time.Second) // Successors are chosen and have read all they need.
	before := r.owner()
	is.NoErr(before.command.Process.Signal(syscall.SIGTERM))
	longest, last, starts := time.Duration(0), time.Now(), r.judge.Starts()
	for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(5 * time.Millisecond) {
		if n := r.judge.Starts(); n != starts {
			starts, last = n, time.Now()
		}
		longest = max(longest, time.Since(last))
	}
	accepted := stop()
	t.Logf("longest time without a start: %v, %d jobs accepted", longest, len(accepted))
	is.True(r.owner() != before)
	is.True(longest < handoverGap)
	is.Equal(r.logged("state taken over"), 1)
	is.Equal(r.logged("state dropped"), 0)
	is.Equal(r.judge.Running() >= 2, true)
	r.await("jobs to be done", doneTime, func() bool {
		for _, n := range accepted {
			if _, body := r.call(r.owner(), http.MethodGet, fake.Queue+id(n), fake.Key, ""); body != `{"state":"done"}` {
				return false
			}
		}
		return true
	})
	for _, v := range r.judge.Violations() {
		t.Log(v)
	}
	is.Equal(len(r.judge.Violations()), 0)
}

// The successor is lost while the owner sends it the state, or comes back later, or the store is away
// when the owner resigns. The jobs go on under another owner, nothing stays held back, and no
// task runs twice.
func TestHandoverFailsHalfway(t *testing.T) {
	tests := map[string]struct {
		fail func(r *rig, successor *host)
		heal func(r *rig, successor *host)
	}{
		"successor is killed": {
			fail: func(_ *rig, h *host) { _ = h.command.Process.Signal(syscall.SIGSTOP) },
			heal: func(_ *rig, h *host) { _ = h.command.Process.Kill(); _ = h.command.Wait() },
		},
		"successor is paused": {
			fail: func(_ *rig, h *host) { _ = h.command.Process.Signal(syscall.SIGSTOP) },
			heal: func(_ *rig, h *host) { _ = h.command.Process.Signal(syscall.SIGCONT) },
		},
		"store is away": {
			fail: func(r *rig, _ *host) { r.store.SetDown(true) },
			heal: func(r *rig, _ *host) { r.store.SetDown(false) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, 3)
			r.await("an owner", startTime, func() bool { return r.owner() != nil })
			code, _ := r.call(r.hosts[0], http.MethodPost, fake.Queue+id(1), fake.Key, lasting)
			is.Equal(code, http.StatusOK)
			r.await("lasting tasks to run", doneTime, func() bool { return r.judge.Running() == 2 })
			stop := r.load(100)
			time.Sleep(3 * time.Second) // Successors are chosen and have read all they need.
			before, successor := r.owner(), r.successor()
			tt.fail(r, successor)
			is.NoErr(before.command.Process.Signal(syscall.SIGTERM))
			time.Sleep(300 * time.Millisecond) // The state is on its way, or is held without a resignation.
			tt.heal(r, successor)
			r.await("another owner", doneTime, func() bool { return r.owner() != nil && r.owner() != before })
			starts := r.judge.Starts()
			r.await("starts", doneTime, func() bool { return r.judge.Starts() > starts })
			accepted := stop()
			r.await("jobs to be done", doneTime, func() bool {
				for _, n := range accepted {
					if _, body := r.call(r.owner(), http.MethodGet, fake.Queue+id(n), fake.Key, ""); body != `{"state":"done"}` {
						return false
					}
				}
				return true
			})
			is.Equal(r.judge.Running(), 2)
			for _, v := range r.judge.Violations() {
				t.Log(v)
			}
			is.Equal(len(r.judge.Violations()), 0)
			t.Logf("%d states sent, %d taken over, %d dropped", r.logged("state received"), r.logged("state taken over"), r.logged("state dropped"))
		})
	}
}

// successor returns the first successor that the store's row of the owner names.
func (r *rig) successor() *host {
	r.t.Helper()
	var o board.Owner
	if err := board.Decode(row(r.store.Get(board.Table, board.Main, board.OwnerKey)), &o); err != nil {
		r.t.Fatal(err)
	}
	for _, h := range r.hosts {
		if len(o.Successors) > 0 && h.name == o.Successors[0] {
			return h
		}
	}
	r.t.Fatal("the owner names no successor")
	return nil
}
