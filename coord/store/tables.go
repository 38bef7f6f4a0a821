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

// table returns the table of that name and creates it if needed.
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

// commit applies ops atomically. It locks the tables in the order of their
// names, so that two transactions can't deadlock.
func (s *tables) commit(ops []Op) error {
	involved := make(map[string]*table)
	names := make([]string, 0)
	for _, op := range ops {
		if involved[op.Table] == nil {
			involved[op.Table] = s.table(op.Table)
			names = append(names, op.Table)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		involved[name].mu.Lock()
		defer involved[name].mu.Unlock()
	}
	for _, op := range ops {
		if conflict := involved[op.Table].checkLocked(op); conflict != nil {
			return conflict
		}
	}
	for _, op := range ops {
		involved[op.Table].applyLocked(op)
	}
	return nil
}
