package store

import (
	"context"
	"sync"

	"github.com/balsamford/balsamford/coord/timer"
)

// Memory is the platform's service in memory, for tests and stand-ins. All
// methods may be called concurrently. A call fails with an *UnavailableError
// if a fault switch says so.
type Memory struct {
	timer   *timer.Service
	counts  *counts
	tables  tables
	objects objects
	hosts   hosts

	mu     sync.Mutex // guards faults
	faults Faults
}

// New returns an empty platform without faults and lags.
func New(opts ...Option) *Memory {
	m := &Memory{
		counts:  newCounts(nil),
		tables:  tables{byName: make(map[string]*table)},
		objects: objects{seen: make(map[string][]byte)},
		hosts:   hosts{seen: make(map[string]Host)},
	}
	for _, opt := range opts {
		opt(m)
	}
	if m.timer == nil {
		m.timer = timer.New()
	}
	return m
}

// Faults returns the fault switches as they stand.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// SetFaults replaces all fault switches.
func (m *Memory) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Get returns one row, or a *MissingError.
func (m *Memory) Get(ctx context.Context, table, key string) (Row, error) {
	if err := m.read(ctx, "get "+table); err != nil {
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
	if err := m.read(ctx, "scan "+table); err != nil {
		return nil, err
	}
	return m.tables.table(table).scan(prefix), nil
}

// Commit applies ops together, or fails with a *ConflictError and applies
// none. All conditions are compared with the rows before the transaction.
func (m *Memory) Commit(ctx context.Context, ops []Op) error {
	return m.write(ctx, "commit", func() error { return m.tables.commit(ops) })
}

// PutObject stores data under name.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	return m.write(ctx, "put object", func() error {
		m.objects.put(m.timer.Boot(), m.Faults().Lag, name, data)
		return nil
	})
}

// Object returns the object under name, or a *MissingError.
func (m *Memory) Object(ctx context.Context, name string) ([]byte, error) {
	if err := m.read(ctx, "object"); err != nil {
		return nil, err
	}
	data, ok := m.objects.get(m.timer.Boot(), name)
	if !ok {
		return nil, &MissingError{Name: "object " + name}
	}
	return data, nil
}

// Hosts returns the list of hosts as it is seen, sorted by name.
func (m *Memory) Hosts(ctx context.Context) ([]Host, error) {
	if err := m.read(ctx, "hosts"); err != nil {
		return nil, err
	}
	return m.hosts.list(m.timer.Boot()), nil
}

// Announce puts a host on the list, or replaces what is said of it.
func (m *Memory) Announce(ctx context.Context, h Host) error {
	return m.write(ctx, "announce", func() error {
		m.hosts.change(m.timer.Boot(), m.Faults().List, h, false)
		return nil
	})
}

// Withdraw takes a host off the list.
func (m *Memory) Withdraw(ctx context.Context, name string) error {
	return m.write(ctx, "withdraw", func() error {
		m.hosts.change(m.timer.Boot(), m.Faults().List, Host{Name: name}, true)
		return nil
	})
}
