package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/site"
)

// command runs one kind of trial and returns the violations of invariants.
type command func(context.Context, site.Settings) ([]judge.Finding, error)

// options holds the values of the command line flags.
type options struct {
	objects      string
	binaries     string
	dir          string
	seed         uint64
	count        int
	rate         float64
	duration     time.Duration
	today        bool
	fence        string
	hostsPerZone int // entry hosts in each zone; the default of the deployment if 0
	kinds        []string
	workers      string
	hosts        string
	rates        string
}

func newOptions() *options {
	return &options{
		objects: filepath.Join("deploy", "trilha.toml"), binaries: executableDir(), seed: 1, count: 600, rate: 60, duration: 30 * time.Second,
		workers: "12,48,96", hosts: "2", rates: "0",
	}
}

// parse reads the command line into o and returns the selected command.
func (o *options) parse() command {
	flaggy.SetName("trial")
	flaggy.SetDescription("runs deployments on the loopback interface and checks their invariants")
	demoCmd := o.subcommand("demo", "run a small deployment with requests of all kinds and print a table of the outcomes")
	faultsCmd := o.subcommand("faults", "inject seeded faults under load of all kinds and check the endpoints' logs for violated invariants")
	costCmd := o.subcommand("cost", "measure processor time, memory and traffic at several sizes")
	paceCmd := o.subcommand("pace", "measure latency, goodput, and requests lost while hosts are killed or replaced")
	for _, c := range []*flaggy.Subcommand{demoCmd, faultsCmd, paceCmd} {
		c.String(&o.dir, "d", "dir", "directory for settings and process output; a temporary one if empty")
		c.Float64(&o.rate, "r", "rate", "requests a second; in pace, for the measures slow, kill and replace")
	}
	for _, c := range []*flaggy.Subcommand{demoCmd, faultsCmd} {
		c.UInt64(&o.seed, "s", "seed", "seed of the requests and the faults")
		c.Int(&o.hostsPerZone, "n", "hosts", "entry hosts in each zone; the default of the deployment if 0")
		c.Bool(&o.today, "t", "today", "run a deployment of the present size: four zones, 52 executors, 48 workers")
	}
	for _, c := range []*flaggy.Subcommand{faultsCmd, costCmd, paceCmd} {
		c.Duration(&o.duration, "l", "time", "how long faults are injected, or each load is measured")
	}
	demoCmd.Int(&o.count, "c", "count", "number of requests")
	faultsCmd.String(&o.fence, "f", "fence", "how former owners of an endpoint are fenced: endpoint or clock")
	faultsCmd.StringSlice(&o.kinds, "k", "kind", "kind of fault; may be repeated; all if not given")
	paceCmd.StringSlice(&o.kinds, "k", "kind", "measure: latency, goodput, fair, slow, kill, replace or direct; may be repeated; all if not given")
	costCmd.String(&o.workers, "w", "workers", "workers in each zone, one number for each run")
	costCmd.String(&o.hosts, "n", "hosts", "entry hosts in each zone, one number for each run or one for all")
	costCmd.String(&o.rates, "r", "rates", "requests a second, one number for each run or one for all")
	flaggy.Parse()
	return o.selected(map[*flaggy.Subcommand]command{demoCmd: o.demo, faultsCmd: o.faults, costCmd: o.cost, paceCmd: o.pace})
}

// subcommand adds a subcommand with the flags that all subcommands share.
func (o *options) subcommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	c.String(&o.objects, "o", "objects", "file of configuration objects")
	c.String(&o.binaries, "b", "binaries", "directory of the programs")
	flaggy.AttachSubcommand(c, 1)
	return c
}

func (o *options) selected(commands map[*flaggy.Subcommand]command) command {
	for c, run := range commands {
		if c.Used {
			return run
		}
	}
	flaggy.ShowHelpAndExit("subcommand missing: demo, faults, cost or pace")
	return nil
}
