package soak

import (
	"context"
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	first = flag.Uint64("soak.first", 1, "first seed")
	seeds = flag.Int("soak.seeds", 2, "how many seeds")
	most  = flag.Int("soak.parallel", 2, "how many seeds are run at a time")
	long  = flag.Duration("soak.time", 8*time.Second, "how long faults are made with each seed")
)

// regressions are seeds that once broke a promise, with a line on the cause.
func regressions() map[uint64]string {
	return map[uint64]string{
		3:   "an accepted job isn't known at a host that was paused while it owned the cell",
		8:   "a host that can't ask the owner shows a job as queued after it has failed",
		303: "a process was stopped that had been paused while it began",
		304: "the stand-in's leases lapsed only at the next call",
		312: "a recorded end is told late; an owner that heard nothing of an executor closed it",
	}
}

// build builds the program under test.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", binary, "../../../node").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// TestSoak runs seeds one after another: some by default, more by the flags, and those
// that once broke a promise.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the programs under test aren't built with the race detector")
	}
	binary := build(t)
	list := make(map[uint64]string)
	for i := range *seeds {
		list[*first+uint64(i)] = "drawn"
	}
	for seed, cause := range regressions() {
		list[seed] = cause
	}
	var g errgroup.Group
	g.SetLimit(*most)
	for seed, cause := range list {
		g.Go(func() error { soakSeed(t, binary, seed, cause); return nil })
	}
	_ = g.Wait() // It never fails.
}

func soakSeed(t *testing.T, binary string, seed uint64, cause string) {
	t.Helper()
	s := Settings{Binary: binary, Dir: t.TempDir(), Seed: seed, Time: *long, Hosts: 3, Executors: 6, Clients: 4}
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
		return
	}
	t.Logf("seed %d (%s): %d jobs accepted, %d runs, %d faults made", seed, cause, r.Accepted, r.Starts, len(r.Events))
	if len(r.Broken) == 0 {
		return
	}
	for _, e := range r.Events {
		t.Log(e)
	}
	for _, b := range r.Broken {
		t.Errorf("seed %d: broken: %s", seed, b)
	}
}
