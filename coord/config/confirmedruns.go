package config

import "sync"

// confirmedRuns are the writers' runs that confirmed a version in one query. It
// may be used concurrently.
type confirmedRuns struct {
	mu   sync.Mutex // guards runs
	runs map[string]bool
}

func (s *confirmedRuns) add(run string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]bool)
	}
	s.runs[run] = true
}

func (s *confirmedRuns) has(run string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[run]
}
