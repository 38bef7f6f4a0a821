package config

import "sync"

// sureRuns are the processes that were sure in one round of questions.
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
