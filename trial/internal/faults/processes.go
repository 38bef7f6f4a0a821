package faults

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/judge"
)

// pickProcess returns a random entry or placer.
func (inj *injector) pickProcess() *cell.Process {
	processes := append(inj.site.Cell().ByRole(cell.RoleEntry), inj.site.Cell().ByRole(cell.RolePlacer)...)
	return processes[inj.rand.IntN(len(processes))]
}

func (inj *injector) kill() *fault {
	p := inj.pickProcess()
	return &fault{
		description: "kill " + p.Name(), targets: []string{p.Name()}, duration: inj.between(500*time.Millisecond, 4*time.Second),
		begin: func(context.Context) error { inj.site.Cell().Kill(p); return nil },
		undo:  func(context.Context) error { return inj.site.Cell().Start(p) },
	}
}

func (inj *injector) pause() *fault {
	p := inj.pickProcess()
	duration := longPause
	if inj.rand.IntN(2) == 0 {
		duration = inj.between(200*time.Millisecond, 5*time.Second)
	}
	return &fault{
		description: "pause " + p.Name() + " for " + duration.String(), targets: []string{p.Name()}, duration: duration,
		begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		undo:  func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}

func (inj *injector) replace() *fault {
	p := inj.pickProcess()
	return &fault{
		description: "replace " + p.Name(), targets: []string{p.Name()}, duration: inj.between(0, time.Second),
		begin: func(context.Context) error {
			inj.site.Cell().Stop(p)
			code, planned := p.Exit()
			inj.mu.Lock()
			defer inj.mu.Unlock()
			inj.exits = append(inj.exits, judge.Exit{Process: p.Name(), Planned: planned, Code: code})
			return nil
		},
		undo: func(context.Context) error { return inj.site.Cell().Start(p) },
	}
}

func (inj *injector) host() *fault {
	hosts := inj.site.Cell().EntryHosts()
	name := hosts[inj.rand.IntN(len(hosts))].Host
	processes := inj.site.HostProcesses(name)
	return &fault{
		description: "kill host " + name, targets: []string{processes[0].Name(), processes[1].Name()}, duration: inj.between(time.Second, 6*time.Second),
		begin: func(context.Context) error { inj.killAll(processes); return nil },
		undo:  func(context.Context) error { return inj.startAll(processes) },
	}
}

// zone simulates the loss of a zone: its entries and placers are killed and its
// endpoints don't answer, so that the leases of their tasks expire.
func (inj *injector) zone() *fault {
	zones := inj.site.Cell().Zones()
	zone := zones[inj.rand.IntN(len(zones))]
	processes, targets := inj.site.ZoneProcesses(zone), []string{"cut"}
	for _, p := range processes {
		targets = append(targets, p.Name())
	}
	endpoints := inj.site.Cell().Endpoints()
	endpoints = slices.DeleteFunc(endpoints, func(e cell.Endpoint) bool { return e.Zone != zone })
	for _, e := range endpoints {
		targets = append(targets, e.Address)
	}
	setEndpoints := func(f engine.Faults) error {
		var err error
		for _, e := range endpoints {
			err = errors.Join(err, inj.site.SetEndpointFaults(e.Address, f))
		}
		return err
	}
	return &fault{
		description: "kill zone " + zone, targets: targets, duration: inj.between(4*time.Second, longPause),
		begin: func(context.Context) error { inj.killAll(processes); return setEndpoints(engine.Faults{Down: true}) },
		undo: func(context.Context) error {
			return errors.Join(setEndpoints(engine.Faults{}), inj.startAll(processes))
		},
	}
}

func (inj *injector) killAll(processes []*cell.Process) {
	for _, p := range processes {
		inj.site.Cell().Kill(p)
	}
}

// startAll starts the processes of list that aren't running.
func (inj *injector) startAll(processes []*cell.Process) error {
	var err error
	for _, p := range processes {
		if !p.Running() {
			err = errors.Join(err, inj.site.Cell().Start(p))
		}
	}
	return err
}

func (inj *injector) rack() *fault {
	processes := inj.site.Cell().ByRole(cell.RoleEndpoints)
	p := processes[inj.rand.IntN(len(processes))]
	return &fault{
		description: "pause " + p.Name(), targets: []string{p.Name()}, duration: longPause,
		begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		undo:  func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}
