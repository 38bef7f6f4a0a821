package soak

import (
	"context"
	"errors"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	firstSeed   = flag.Uint64("soak.first", 1, "first seed to run")
	seedCount   = flag.Int("soak.seeds", 2, "number of seeds to run")
	maxParallel = flag.Int("soak.parallel", 2, "maximum number of seeds run concurrently")
	faultTime   = flag.Duration("soak.time", 8*time.Second, "how long faults are injected with each seed")
)

// regressions returns the seeds that once found a violation, with its cause.
func regressions() map[uint64]string {
	return map[uint64]string{
		3:    "a host that was paused while it owned the cell doesn't know an accepted job",
		8:    "a host that can't reach the owner shows a job as queued after it has failed",
		303:  "SIGTERM was sent to a process that had been paused during its startup",
		304:  "leases at a fake executor lapsed only at the next call",
		312:  "a recorded end was reported late; an owner without any report from the executor closed it",
		4032: "a start reached the new life of an executor, or a run ended there, before the owner knew of it",
	}
}

// build builds the program under test and returns its path.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "node")
	out, err := exec.Command("go", "build", "-o", binary, "../../../node").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// TestSoak runs a soak with each of the seeds selected by the flags and of the
// regressions, and reports all violations.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("the programs under test aren't built with the race detector")
	}
	binary := build(t)
	causes := make(map[uint64]string)
	for i := range *seedCount {
		causes[*firstSeed+uint64(i)] = "selected by flags"
	}
	for seed, cause := range regressions() {
		causes[seed] = cause
	}
	var g errgroup.Group
	g.SetLimit(*maxParallel)
	free := newPorts(os.Getpid())
	for seed, cause := range causes {
		g.Go(func() error { runSeed(t, binary, free, seed, cause); return nil })
	}
	_ = g.Wait() // Its goroutines return no errors.
}

// runSeed runs a soak with one seed, with ports from free. cause says why the seed was selected.
func runSeed(t *testing.T, binary string, free *ports, seed uint64, cause string) {
	t.Helper()
	s := Settings{Binary: binary, Dir: t.TempDir(), Seed: seed, FaultTime: *faultTime, Hosts: 3, Executors: 6, Clients: 4, Ports: free}
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Errorf("seed %d: %v", seed, err)
		var start *StartError
		if errors.As(err, &start) {
			log, _ := os.ReadFile(start.Log) // It may not exist.
			t.Logf("%s", log[max(0, len(log)-4000):])
		}
		return
	}
	t.Logf("seed %d (%s): %d jobs accepted, %d runs, %d faults injected, %d jobs rejected for the load, %d hand-overs with state, %d states dropped, last start in an evacuated zone after %v", seed, cause, r.Accepted, r.Starts, len(r.Faults), r.Rejected, r.Handovers, r.Dropped, r.Evacuation)
	if len(r.Violations) == 0 {
		return
	}
	for _, e := range r.Faults {
		t.Log(e)
	}
	for _, b := range r.Violations {
		t.Errorf("seed %d: violation: %s", seed, b)
	}
}
