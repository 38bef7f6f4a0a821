package record

import (
	"sync"
	"time"
)

// silent knows the hosts that didn't answer of late. Its zero value is ready;
// all methods may be called concurrently.
type silent struct {
	mu    sync.Mutex // guards until
	until map[string]time.Time
}

// ask reports whether a host may be asked now. One that was silent is asked by
// one caller at a time.
func (s *silent) ask(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, was := s.until[host]
	if !was {
		return true
	}
	if now.Before(until) {
		return false
	}
	s.until[host] = now.Add(shareRest)
	return true
}

// note notes whether a host has answered.
func (s *silent) note(host string, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.until, host)
		return
	}
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[host] = now.Add(shareRest)
}
