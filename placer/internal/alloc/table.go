package alloc

import "github.com/balsamford/balsamford/coord/wire"

// Table holds endpoints of one kind. It is not safe for concurrent use: the
// caller guards it with the same lock as its queue, because a decision needs a
// consistent view of both.
type Table struct {
	names    map[string]*Row
	rows     []*Row
	capacity wire.Needs // total of all rows
	spare    wire.Needs // total free room of open rows
}

// New returns an empty table.
func New() *Table { return &Table{names: make(map[string]*Row)} }

// Join adds an endpoint or updates its description. The resources granted on a
// known endpoint are kept.
func (t *Table) Join(name, zone, rack string, capacity wire.Needs, leaving bool) *Row {
	r := t.names[name]
	if r == nil {
		r = &Row{name: name, index: len(t.rows)}
		t.names[name] = r
		t.rows = append(t.rows, r)
	}
	t.capacity = t.capacity.Sub(r.capacity).Add(capacity)
	r.zone, r.rack, r.capacity, r.leaving = zone, rack, capacity, leaving
	t.recompute(r)
	return r
}

// Leave closes an endpoint to new tasks and reports whether it is known.
func (t *Table) Leave(name string) bool {
	r := t.names[name]
	if r == nil {
		return false
	}
	r.leaving = true
	t.recompute(r)
	return true
}

// Drop removes an endpoint and returns its row, or nil if it isn't known.
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

// Report records the usage that an endpoint has measured and reports whether
// the endpoint is known.
func (t *Table) Report(name string, used wire.Needs) bool {
	r := t.names[name]
	if r == nil {
		return false
	}
	r.reported = used
	r.reports++
	t.recompute(r)
	return true
}

// SetQuarantined starts or ends the quarantine of an endpoint.
func (t *Table) SetQuarantined(r *Row, quarantined bool) {
	r.quarantined = quarantined
	t.recompute(r)
}

// SetProbation starts or ends the probation of an endpoint, in which it runs at
// most one task at a time.
func (t *Table) SetProbation(r *Row, probe bool) {
	r.probation = probe
	t.recompute(r)
}

// Grant allocates room for one task. It reports false and changes nothing if the
// endpoint isn't open or has too little room.
func (t *Table) Grant(r *Row, needs wire.Needs) bool {
	if !r.Open() || !needs.Fits(r.free) {
		return false
	}
	t.Allocate(r, needs)
	return true
}

// Allocate allocates room for one task without the checks of Grant: the endpoint
// may be closed, and needs may exceed its free room.
func (t *Table) Allocate(r *Row, needs wire.Needs) {
	r.granted = r.granted.Add(needs)
	r.tasks++
	t.recompute(r)
}

// Free releases the room of one task; reports is the value of Row.Reports when
// the room was allocated. If a report has arrived since then, it included the
// task, so needs is subtracted from the reported usage too.
func (t *Table) Free(r *Row, needs wire.Needs, reports uint64) {
	r.granted = r.granted.Sub(needs)
	r.tasks--
	if reports < r.reports {
		r.reported = r.reported.Sub(needs).Max(wire.Needs{})
	}
	t.recompute(r)
}

// Row returns the endpoint with that name, or nil.
func (t *Table) Row(name string) *Row { return t.names[name] }

// Rows returns all endpoints in no particular order. The caller must not
// change the slice.
func (t *Table) Rows() []*Row { return t.rows }

// Capacity returns the total declared capacity of all endpoints.
func (t *Table) Capacity() wire.Needs { return t.capacity }

// Spare returns the total free room of all open endpoints.
func (t *Table) Spare() wire.Needs { return t.spare }

// recompute updates the free room of an endpoint and the total of the table.
func (t *Table) recompute(r *Row) {
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
