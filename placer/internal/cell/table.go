package cell

import "github.com/balsamford/balsamford/coord/wire"

// Table holds endpoints of one kind. It is not safe for concurrent use; its
// owner guards it together with the queue that feeds it, because a decision
// has to see both at one moment.
type Table struct {
	names    map[string]*Row
	rows     []*Row
	capacity wire.Needs
	spare    wire.Needs
}

// New returns an empty table.
func New() *Table { return &Table{names: make(map[string]*Row)} }

// Join adds an endpoint or changes what it declares. What is granted on a
// known endpoint stays.
func (t *Table) Join(name, zone, rack string, capacity wire.Needs, leaving bool) *Row {
	r := t.names[name]
	if r == nil {
		r = &Row{name: name, index: len(t.rows)}
		t.names[name] = r
		t.rows = append(t.rows, r)
	}
	t.capacity = t.capacity.Sub(r.capacity).Add(capacity)
	r.zone, r.rack, r.capacity, r.leaving = zone, rack, capacity, leaving
	t.settle(r)
	return r
}

// Leave keeps new work from an endpoint and reports whether it is known.
func (t *Table) Leave(name string) bool {
	r := t.names[name]
	if r == nil {
		return false
	}
	r.leaving = true
	t.settle(r)
	return true
}

// Drop forgets an endpoint and returns its row, or nil if it isn't known.
func (t *Table) Drop(name string) *Row {
	r := t.names[name]
	if r == nil {
		return nil
	}
	delete(t.names, name)
	last := len(t.rows) - 1
	moved := t.rows[last]
	t.rows[r.index] = moved
	moved.index = r.index
	t.rows[last] = nil
	t.rows = t.rows[:last]
	t.capacity = t.capacity.Sub(r.capacity)
	t.spare = t.spare.Sub(r.spare)
	r.spare = wire.Needs{}
	return r
}

// Report notes what an endpoint measured as used and reports whether it is
// known.
func (t *Table) Report(name string, used wire.Needs) bool {
	r := t.names[name]
	if r == nil {
		return false
	}
	r.reported = used
	r.reports++
	t.settle(r)
	return true
}

// Bar puts an endpoint into quarantine or ends it.
func (t *Table) Bar(r *Row, barred bool) {
	r.barred = barred
	t.settle(r)
}

// Probe lets an endpoint run at most one task at a time or ends that.
func (t *Table) Probe(r *Row, probe bool) {
	r.probe = probe
	t.settle(r)
}

// Grant takes room for one task and reports whether there was as much.
func (t *Table) Grant(r *Row, needs wire.Needs) bool {
	if !r.Open() || !needs.Fits(r.free) {
		return false
	}
	t.Adopt(r, needs)
	return true
}

// Adopt counts a task that already holds its room.
func (t *Table) Adopt(r *Row, needs wire.Needs) {
	r.granted = r.granted.Add(needs)
	r.tasks++
	t.settle(r)
}

// Free gives back the room of one task that was granted after so many
// reports. A report that came since then counted the task, so what it took is
// no longer part of what was reported.
func (t *Table) Free(r *Row, needs wire.Needs, reports uint64) {
	r.granted = r.granted.Sub(needs)
	r.tasks--
	if reports < r.reports {
		r.reported = r.reported.Sub(needs).Max(wire.Needs{})
	}
	t.settle(r)
}

// Row returns the endpoint of that name, or nil.
func (t *Table) Row(name string) *Row { return t.names[name] }

// Rows returns all endpoints in no particular order. The caller must not
// change the slice.
func (t *Table) Rows() []*Row { return t.rows }

// Capacity returns the sum of what all endpoints declare.
func (t *Table) Capacity() wire.Needs { return t.capacity }

// Spare returns the room of all open endpoints.
func (t *Table) Spare() wire.Needs { return t.spare }

// settle works out anew what is free on an endpoint.
func (t *Table) settle(r *Row) {
	r.free = r.capacity.Sub(r.Committed())
	if t.names[r.name] != r {
		return
	}
	t.spare = t.spare.Sub(r.spare)
	r.spare = wire.Needs{}
	if r.Open() {
		r.spare = r.free.Max(wire.Needs{})
	}
	t.spare = t.spare.Add(r.spare)
}
