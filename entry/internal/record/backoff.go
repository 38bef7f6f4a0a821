package record

import (
	"sync"
	"time"
)

// peerBackoff tracks hosts that recently failed to answer. The zero value is ready
// to use; all methods may be called concurrently.
type peerBackoff struct {
	mu    sync.Mutex           // guards until
	until map[string]time.Time // end of the backoff, by host
}

// allow reports whether the host may be called now. After a failure it allows one
// call per peerBackoffTime until the host answers.
func (s *peerBackoff) allow(host string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, was := s.until[host]
	if !was {
		return true
	}
	if now.Before(until) {
		return false
	}
	s.until[host] = now.Add(peerBackoffTime)
	return true
}

// report records whether a call to the host was answered.
func (s *peerBackoff) report(host string, answered bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		delete(s.until, host)
		return
	}
	if s.until == nil {
		s.until = make(map[string]time.Time)
	}
	s.until[host] = now.Add(peerBackoffTime)
}
