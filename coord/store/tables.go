package store

import (
	"sort"
	"sync"
)

// tables holds the tables of a Memory by name.
type tables struct {
	mu     sync.Mutex // guards byName
	byName map[string]*table
}

func (s *tables) table(name string) *table {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byName[name]
	if t == nil {
		t = newTable()
		s.byName[name] = t
	}
	return t
}

// commit applies ops together or not at all. Tables are locked in the order
// of their names, so that two transactions can't wait for each other.
func (s *tables) commit(ops []Op) error {
	touched := make(map[string]*table)
	names := make([]string, 0)
	for _, op := range ops {
		if touched[op.Table] == nil {
			touched[op.Table] = s.table(op.Table)
			names = append(names, op.Table)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		touched[name].mu.Lock()
		defer touched[name].mu.Unlock()
	}
	for _, op := range ops {
		if conflict := touched[op.Table].checkLocked(op); conflict != nil {
			return conflict
		}
	}
	for _, op := range ops {
		touched[op.Table].applyLocked(op)
	}
	return nil
}
