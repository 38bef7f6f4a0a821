package store

import (
	"bytes"
	"sort"
	"strings"
	"sync"
)

// table is one table of a Memory, with its own lock.
type table struct {
	mu   sync.RWMutex // guards the fields below
	rows map[string]Row
	// maxDeletedVersion is the highest version of any deleted row. New rows
	// start above it, so that a stale version never matches a recreated row.
	maxDeletedVersion uint64
}

func newTable() *table { return &table{rows: make(map[string]Row)} }

func (t *table) get(key string) (Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.rows[key]
	return copyRow(r), ok
}

// scan returns the rows whose keys begin with prefix, sorted by key.
func (t *table) scan(prefix string) []Row {
	t.mu.RLock()
	rows := make([]Row, 0)
	for key, r := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, copyRow(r))
		}
	}
	t.mu.RUnlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// checkLocked returns a conflict if the row doesn't have the version that op
// expects, or nil.
func (t *table) checkLocked(op Op) *ConflictError {
	r := t.rows[op.Key]
	if op.Expect == Any || op.Expect == r.Version {
		return nil
	}
	r.Key = op.Key
	return &ConflictError{Table: op.Table, Row: copyRow(r)}
}

// applyLocked applies op without a check of the version.
func (t *table) applyLocked(op Op) {
	r, ok := t.rows[op.Key]
	switch op.Action {
	case Put:
		version := r.Version + 1
		if !ok {
			version = t.maxDeletedVersion + 1
		}
		t.rows[op.Key] = Row{Key: op.Key, Version: version, Value: bytes.Clone(op.Value)}
	case Delete:
		t.maxDeletedVersion = max(t.maxDeletedVersion, r.Version)
		delete(t.rows, op.Key)
	case Check:
	}
}

func copyRow(r Row) Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
