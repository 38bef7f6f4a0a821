// Command trial runs deployments on the loopback, loads them and judges what
// it sees. It is a tool for tests: unlike the programs of the system it
// starts processes.
package main

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/internal/cost"
	"github.com/balsamford/balsamford/trial/internal/demo"
	"github.com/balsamford/balsamford/trial/internal/faults"
	"github.com/balsamford/balsamford/trial/internal/pace"
	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/site"
)

// The exit codes.
const (
	exitBroken = 1 // a promise was broken, or a process didn't end well
	exitFailed = 2 // the trial itself could not run
)

// options are the command line.
type options struct {
	objects  string
	binaries string
	dir      string
	seed     uint64
	count    int
	rate     float64
	long     time.Duration
	today    bool
	each     int // entry hosts of each zone
	only     []string
	sizes    string
	hosts    string
	rates    string
}

func main() {
	o := options{objects: filepath.Join("deploy", "trilha.toml"), binaries: ownDir(), seed: 1, count: 600, rate: 60, long: 30 * time.Second,
		sizes: "12,48,96", hosts: "2", rates: "0"}
	play := flaggy.NewSubcommand("demo")
	play.Description = "a small deployment, real requests of all kinds, a table, a graceful end"
	harm := flaggy.NewSubcommand("faults")
	harm.Description = "load of all kinds under seeded faults, judged by the endpoints' own logs"
	flaggy.SetName("trial")
	flaggy.SetDescription("runs deployments on the loopback and judges them")
	for _, c := range []*flaggy.Subcommand{play, harm} {
		c.String(&o.objects, "o", "objects", "file of configuration objects")
		c.String(&o.binaries, "b", "binaries", "directory of the programs")
		c.String(&o.dir, "d", "dir", "directory for settings and output; a temporary one if empty")
		c.UInt64(&o.seed, "s", "seed", "of the requests and the faults")
		c.Float64(&o.rate, "r", "rate", "requests a second")
		c.Int(&o.each, "n", "hosts", "entry hosts of each zone, if above 0")
		c.Bool(&o.today, "t", "today", "run today's sizes: four zones, 52 executors, 48 workers")
		flaggy.AttachSubcommand(c, 1)
	}
	play.Int(&o.count, "c", "count", "requests")
	harm.Duration(&o.long, "l", "time", "how long faults are made")
	weigh := flaggy.NewSubcommand("cost")
	weigh.Description = "what the processes use at several sizes"
	weigh.String(&o.objects, "o", "objects", "file of configuration objects")
	weigh.String(&o.binaries, "b", "binaries", "directory of the programs")
	weigh.String(&o.sizes, "w", "workers", "workers of each zone, one number for each run")
	weigh.String(&o.hosts, "n", "hosts", "entry hosts of each zone, one number for each run or one for all")
	weigh.String(&o.rates, "r", "rates", "requests a second, one number for each run or one for all")
	weigh.Duration(&o.long, "l", "time", "how long each run is measured")
	flaggy.AttachSubcommand(weigh, 1)
	speed := flaggy.NewSubcommand("pace")
	speed.Description = "latency, goodput, and what callers lose while hosts are killed or replaced"
	speed.String(&o.objects, "o", "objects", "file of configuration objects")
	speed.String(&o.binaries, "b", "binaries", "directory of the programs")
	speed.String(&o.dir, "d", "dir", "directory for settings and output; a temporary one if empty")
	speed.Float64(&o.rate, "r", "rate", "requests a second while hosts are killed or replaced")
	speed.StringSlice(&o.only, "k", "kind", "measure: latency, goodput, kill, replace or direct, may be given several times; all if there is none")
	speed.Duration(&o.long, "l", "time", "how long each rate is offered")
	flaggy.AttachSubcommand(speed, 1)
	harm.StringSlice(&o.only, "k", "kind", "kind of fault, may be given several times; all if there is none")
	flaggy.Parse()
	run := o.demo
	switch {
	case harm.Used:
		run = o.faults
	case weigh.Used:
		run = o.cost
	case speed.Used:
		run = o.pace
	case !play.Used:
		flaggy.ShowHelpAndExit("name a command: demo, faults, cost or pace")
	}
	os.Exit(o.run(run))
}

// run runs one command and returns the exit code.
func (o *options) run(command func(context.Context, site.Settings) ([]judge.Finding, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := site.Settings{Dir: o.dir, Binaries: o.binaries, Objects: o.objects, Spec: cell.Small()}
	if o.today {
		s.Spec = cell.Today()
	}
	if o.each > 0 {
		s.Spec.Hosts = o.each
	}
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "trial-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "trial:", err)
			return exitFailed
		}
		s.Dir = dir
	}
	findings, err := command(ctx, s)
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
		return exitBroken
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
	only := make([]faults.Kind, 0, len(o.only))
	for _, k := range o.only {
		only = append(only, faults.Kind(k))
	}
	return faults.Run(ctx, faults.Settings{Site: s, Time: o.long, Rate: o.rate, Seed: o.seed, Only: only}, os.Stdout)
}

func (o *options) cost(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	return nil, cost.Run(ctx, cost.Settings{Site: s, Sizes: o.sizes, Hosts: o.hosts, Rates: o.rates, Span: o.long, Seed: o.seed}, os.Stdout)
}

func (o *options) pace(ctx context.Context, s site.Settings) ([]judge.Finding, error) {
	_, err := pace.Run(ctx, pace.Settings{Site: s, Span: o.long, Rate: o.rate, Only: o.only}, os.Stdout)
	return nil, err
}

// ownDir returns the directory of this program.
func ownDir() string {
	path, err := os.Executable()
	if err != nil {
		return "bin"
	}
	return filepath.Dir(path)
}
