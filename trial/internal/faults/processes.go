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

// process picks an entry or a placer.
func (m *maker) process() *cell.Process {
	list := append(m.site.Cell().ByRole(cell.RoleEntry), m.site.Cell().ByRole(cell.RolePlacer)...)
	return list[m.rand.IntN(len(list))]
}

func (m *maker) kill() *fault {
	p := m.process()
	return &fault{
		text: "kill " + p.Name(), target: []string{p.Name()}, last: m.between(500*time.Millisecond, 4*time.Second),
		begin: func(context.Context) error { m.site.Cell().Kill(p); return nil },
		end:   func(context.Context) error { return m.site.Cell().Start(p) },
	}
}

func (m *maker) pause() *fault {
	p := m.process()
	last := longPause
	if m.rand.IntN(2) == 0 {
		last = m.between(200*time.Millisecond, 5*time.Second)
	}
	return &fault{
		text: "pause " + p.Name() + " for " + last.String(), target: []string{p.Name()}, last: last,
		begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		end:   func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}

func (m *maker) replace() *fault {
	p := m.process()
	return &fault{
		text: "replace " + p.Name(), target: []string{p.Name()}, last: m.between(0, time.Second),
		begin: func(context.Context) error {
			m.site.Cell().Stop(p)
			code, planned := p.Exit()
			m.mu.Lock()
			defer m.mu.Unlock()
			m.exits = append(m.exits, judge.Exit{Process: p.Name(), Planned: planned, Code: code})
			return nil
		},
		end: func(context.Context) error { return m.site.Cell().Start(p) },
	}
}

func (m *maker) host() *fault {
	doors := m.site.Cell().EntryHosts()
	name := doors[m.rand.IntN(len(doors))].Host
	list := m.site.HostProcesses(name)
	return &fault{
		text: "kill host " + name, target: []string{list[0].Name(), list[1].Name()}, last: m.between(time.Second, 6*time.Second),
		begin: func(context.Context) error { m.killAll(list); return nil },
		end:   func(context.Context) error { return m.startAll(list) },
	}
}

// zone lets a zone die: its processes are gone and its endpoints answer
// nobody, so that the leases of what runs there end.
func (m *maker) zone() *fault {
	zones := m.site.Cell().Zones()
	zone := zones[m.rand.IntN(len(zones))]
	list, targets := m.site.ZoneProcesses(zone), []string{"cut"}
	for _, p := range list {
		targets = append(targets, p.Name())
	}
	endpoints := m.site.Cell().Endpoints()
	endpoints = slices.DeleteFunc(endpoints, func(e cell.Endpoint) bool { return e.Zone != zone })
	for _, e := range endpoints {
		targets = append(targets, e.Address)
	}
	set := func(f engine.Faults) error {
		var err error
		for _, e := range endpoints {
			err = errors.Join(err, m.site.SetEndpointFaults(e.Address, f))
		}
		return err
	}
	return &fault{
		text: "kill zone " + zone, target: targets, last: m.between(4*time.Second, longPause),
		begin: func(context.Context) error { m.killAll(list); return set(engine.Faults{Down: true}) },
		end:   func(context.Context) error { return errors.Join(set(engine.Faults{}), m.startAll(list)) },
	}
}

func (m *maker) killAll(list []*cell.Process) {
	for _, p := range list {
		m.site.Cell().Kill(p)
	}
}

// startAll starts those that don't run.
func (m *maker) startAll(list []*cell.Process) error {
	var err error
	for _, p := range list {
		if !p.Running() {
			err = errors.Join(err, m.site.Cell().Start(p))
		}
	}
	return err
}

func (m *maker) rack() *fault {
	list := m.site.Cell().ByRole(cell.RoleEndpoints)
	p := list[m.rand.IntN(len(list))]
	return &fault{
		text: "pause " + p.Name(), target: []string{p.Name()}, last: longPause,
		begin: func(context.Context) error { return p.Signal(syscall.SIGSTOP) },
		end:   func(context.Context) error { return p.Signal(syscall.SIGCONT) },
	}
}
