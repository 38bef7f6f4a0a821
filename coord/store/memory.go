package store

import (
	"context"
	"sync"

	"github.com/balsamford/balsamford/coord/timer"
)

// Memory implements the platform's services in memory, for tests and stand-ins.
// All methods may be called concurrently. A call fails with an
// *UnavailableError if its context has ended or an injected fault affects it.
type Memory struct {
	timer   *timer.Service
	counts  *counts
	tables  tables
	objects objects
	hosts   hosts

	mu     sync.Mutex // guards faults
	faults Faults
}

// New returns an empty Memory. By default it injects no faults, and changes are
// visible at once.
func New(opts ...Option) *Memory {
	m := &Memory{
		counts:  newCounts(nil),
		tables:  tables{byName: make(map[string]*table)},
		objects: objects{visible: make(map[string][]byte)},
		hosts:   hosts{visible: make(map[string]Host)},
	}
	for _, opt := range opts {
		opt(m)
	}
	if m.timer == nil {
		m.timer = timer.New()
	}
	return m
}

// Faults returns the current faults; its counters are those still left.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces all faults.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Get returns one row, or a *MissingError.
func (m *Memory) Get(ctx context.Context, table, key string) (Row, error) {
	if err := m.beginRead(ctx, "get "+table); err != nil {
		return Row{}, err
	}
	r, ok := m.tables.table(table).get(key)
	if !ok {
		return Row{}, &MissingError{Name: table + "/" + key}
	}
	return r, nil
}

// Scan returns the rows of a table whose keys begin with prefix, sorted by
// key.
func (m *Memory) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	if err := m.beginRead(ctx, "scan "+table); err != nil {
		return nil, err
	}
	return m.tables.table(table).scan(prefix), nil
}

// Commit applies ops atomically: all of them, or none if it returns a
// *ConflictError. All expected versions are compared with the rows as they were
// before the transaction.
func (m *Memory) Commit(ctx context.Context, ops []Op) error {
	return m.applyWrite(ctx, "commit", func() error { return m.tables.commit(ops) })
}

// PutObject stores data under name and replaces an object of that name.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	return m.applyWrite(ctx, "put object", func() error {
		m.objects.put(m.timer.Boot(), m.Faults().Lag, name, data)
		return nil
	})
}

// Object returns the object stored under name, or a *MissingError.
func (m *Memory) Object(ctx context.Context, name string) ([]byte, error) {
	if err := m.beginRead(ctx, "object"); err != nil {
		return nil, err
	}
	data, ok := m.objects.get(m.timer.Boot(), name)
	if !ok {
		return nil, &MissingError{Name: "object " + name}
	}
	return data, nil
}

// Hosts returns the visible list of hosts, sorted by name.
func (m *Memory) Hosts(ctx context.Context) ([]Host, error) {
	if err := m.beginRead(ctx, "hosts"); err != nil {
		return nil, err
	}
	return m.hosts.list(m.timer.Boot()), nil
}

// Announce adds h to the list of hosts, or replaces the entry of that name.
func (m *Memory) Announce(ctx context.Context, h Host) error {
	return m.applyWrite(ctx, "announce", func() error {
		m.hosts.schedule(m.timer.Boot(), m.Faults().List, h, false)
		return nil
	})
}

// Withdraw removes a host from the list. It does nothing if the host isn't
// listed.
func (m *Memory) Withdraw(ctx context.Context, name string) error {
	return m.applyWrite(ctx, "withdraw", func() error {
		m.hosts.schedule(m.timer.Boot(), m.Faults().List, Host{Name: name}, true)
		return nil
	})
}
