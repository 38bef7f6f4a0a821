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
	list := append(inj.site.Cell().ByRole(cell.RoleEntry), inj.site.Cell().ByRole(cell.RolePlacer)...)
	return list[inj.rand.IntN(len(list))]
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
	list := inj.site.HostProcesses(name)
	return &fault{
		description: "kill host " + name, targets: []string{list[0].Name(), list[1].Name()}, duration: inj.between(time.Second, 6*time.Second),
		begin: func(context.Context) error { inj.killAll(list); return nil },
		undo:  func(context.Context) error { return inj.startAll(list) },
	}
}

// zone simulates the loss of a zone: its entries and placers are killed and its
// endpoints don't answer, so that the leases of their tasks expire.
func (inj *injector) zone() *fault {
	zones := inj.site.Cell().Zones()
	zone := zones[inj.rand.IntN(len(zones))]
	list, targets := inj.site.ZoneProcesses(zone), []string{"cut"}
	for _, p := range list {
		targets = append(targets, p.Name())
	}
	endpoints := inj.site.Cell().Endpoints()
	endpoints = slices.DeleteFunc(endpoints, func(e cell.Endpoint) bool { return e.Zone != zone })
	for _, e := range endpoints {
		targets = append(targets, e.Address)
	}
	set := func(f engine.Faults) error {
		var err error
		for _, e := range endpoints {
			err = errors.Join(err, inj.site.SetEndpointFaults(e.Address, f))
		}
		return err
	}
	return &fault{
		description: "kill zone " + zone, targets: targets, duration: inj.between(4*time.Second, longPause),
		begin: func(context.Context) error { inj.killAll(list); return set(engine.Faults{Down: true}) },
		undo:  func(context.Context) error { return errors.Join(set(engine.Faults{}), inj.startAll(list)) },
	}
}

func (inj *injector) killAll(list []*cell.Process) {
	for _, p := range list {
		inj.site.Cell().Kill(p)
	}
}

// startAll starts the processes of list that aren't running.
func (inj *injector) startAll(list []*cell.Process) error {
	var err error
	for _, p := range list {
		if !p.Running() {
			err = errors.Join(err, inj.site.Cell().Start(p))
		}
	}
	return err
}

func (inj *injector) rack() *fault {
	list := inj.site.Cell().ByRole(cell.RoleEndpoints)
	p := list[inj.rand.IntN(len(list))]
	return &fault{
		description: "pause " + p.Name(), targets: []string{p.Name()}, duration: longPause,
		begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		undo:  func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}
