// Command trial runs deployments on the loopback interface under load and checks
// the invariants of the system. It is a test tool and, unlike the programs of the
// system, starts other processes.
package main

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/internal/cost"
	"github.com/balsamford/balsamford/trial/internal/demo"
	"github.com/balsamford/balsamford/trial/internal/faults"
	"github.com/balsamford/balsamford/trial/internal/pace"
	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/site"
)

// Exit codes.
const (
	exitViolation = 1 // an invariant was violated, or a process did not stop gracefully
	exitFailed    = 2 // the trial itself could not run
)

func main() {
	o := newOptions()
	os.Exit(o.run(o.parse()))
}

// run runs one subcommand and returns the exit code.
func (o *options) run(run command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := site.Settings{Dir: o.dir, Binaries: o.binaries, Objects: o.objects, Spec: cell.Small()}
	if o.today {
		s.Spec = cell.Today()
	}
	s.Spec.Fence = o.fence
	if o.hostsPerZone > 0 {
		s.Spec.Hosts = o.hostsPerZone
	}
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "trial-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "trial:", err)
			return exitFailed
		}
		s.Dir = dir
	}
	findings, err := run(ctx, s)
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		fmt.Fprintln(os.Stderr, "trial: the processes' output is in", s.Dir)
		return exitFailed
	}
	for _, f := range findings {
		fmt.Println("broken", f)
	}
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, "trial: the processes' output is in", s.Dir)
		return exitViolation
	}
	if o.dir == "" {
		_ = os.RemoveAll(s.Dir)
	}
	return 0
}

func (o *options) demo(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	findings, _, err := demo.Run(ctx, demo.Settings{Site: s, Count: o.count, Rate: o.rate, Seed: o.seed}, os.Stdout)
	return findings, err
}

func (o *options) faults(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	kinds := make([]faults.Kind, 0, len(o.kinds))
	for _, k := range o.kinds {
		kinds = append(kinds, faults.Kind(k))
	}
	return faults.Run(ctx, faults.Settings{Site: s, Time: o.duration, Rate: o.rate, Seed: o.seed, Only: kinds}, os.Stdout)
}

func (o *options) cost(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	return nil, cost.Run(ctx, cost.Settings{Site: s, Sizes: o.workers, Hosts: o.hosts, Rates: o.rates, Span: o.duration, Seed: o.seed}, os.Stdout)
}

func (o *options) pace(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	_, err := pace.Run(ctx, pace.Settings{Site: s, Span: o.duration, Rate: o.rate, Only: o.kinds}, os.Stdout)
	return nil, err
}

// executableDir returns the directory of the running executable.
func executableDir() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}
