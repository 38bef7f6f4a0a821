package main

import (
	"context"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/site"
)

// command runs one kind of trial and returns the broken promises.
type command func(context.Context, site.Settings) ([]judge.Finding, error)

// options are the command line.
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
	hostsPerZone int // entry hosts of each zone
	kinds        []string
	workers      string
	hosts        string
	rates        string
}

func newOptions() *options {
	return &options{
		objects: filepath.Join("deploy", "trilha.toml"), binaries: ownDir(), seed: 1, count: 600, rate: 60, duration: 30 * time.Second,
		workers: "12,48,96", hosts: "2", rates: "0",
	}
}

// parse reads the command line and returns the command it names.
func (o *options) parse() command {
	flaggy.SetName("trial")
	flaggy.SetDescription("runs deployments on the loopback and judges them")
	demoCmd := o.subcommand("demo", "a small deployment, real requests of all kinds, a table, a graceful end")
	faultsCmd := o.subcommand("faults", "load of all kinds under seeded faults, judged by the endpoints' own logs")
	costCmd := o.subcommand("cost", "what the processes use at several sizes")
	paceCmd := o.subcommand("pace", "latency, goodput, and what callers lose while hosts are killed or replaced")
	for _, c := range []*flaggy.Subcommand{demoCmd, faultsCmd, paceCmd} {
		c.String(&o.dir, "d", "dir", "directory for settings and output; a temporary one if empty")
		c.Float64(&o.rate, "r", "rate", "requests a second; of pace, while hosts are killed or replaced")
	}
	for _, c := range []*flaggy.Subcommand{demoCmd, faultsCmd} {
		c.UInt64(&o.seed, "s", "seed", "of the requests and the faults")
		c.Int(&o.hostsPerZone, "n", "hosts", "entry hosts of each zone, if above 0")
		c.Bool(&o.today, "t", "today", "run today's sizes: four zones, 52 executors, 48 workers")
	}
	for _, c := range []*flaggy.Subcommand{faultsCmd, costCmd, paceCmd} {
		c.Duration(&o.duration, "l", "time", "how long faults are made, or each run is measured")
	}
	demoCmd.Int(&o.count, "c", "count", "requests")
	faultsCmd.String(&o.fence, "f", "fence", "how the endpoints keep old owners out: endpoint or clock")
	faultsCmd.StringSlice(&o.kinds, "k", "kind", "kind of fault, may be given several times; all if there is none")
	paceCmd.StringSlice(&o.kinds, "k", "kind", "measure: latency, goodput, fair, slow, kill, replace or direct, may be given several times; all if there is none")
	costCmd.String(&o.workers, "w", "workers", "workers of each zone, one number for each run")
	costCmd.String(&o.hosts, "n", "hosts", "entry hosts of each zone, one number for each run or one for all")
	costCmd.String(&o.rates, "r", "rates", "requests a second, one number for each run or one for all")
	flaggy.Parse()
	return o.selected(map[*flaggy.Subcommand]command{demoCmd: o.demo, faultsCmd: o.faults, costCmd: o.cost, paceCmd: o.pace})
}

// subcommand adds a command with the options that all have.
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
	flaggy.ShowHelpAndExit("name a command: demo, faults, cost or pace")
	return nil
}
