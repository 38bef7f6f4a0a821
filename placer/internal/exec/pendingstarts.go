package exec

import "sync"

// pendingStarts holds the starts that may still begin. Each of them keeps its
// reserved capacity at the endpoint, which bounds their number. All methods may
// be called concurrently.
type pendingStarts struct {
	mu        sync.Mutex // guards byRequest
	byRequest map[string]map[*pendingStart]struct{}
}

func newPendingStarts() *pendingStarts {
	return &pendingStarts{byRequest: make(map[string]map[*pendingStart]struct{})}
}

func (s *pendingStarts) add(p *pendingStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRequest[p.request] == nil {
		s.byRequest[p.request] = make(map[*pendingStart]struct{})
	}
	s.byRequest[p.request][p] = struct{}{}
}

// remove removes a start whose outcome is known. It does nothing for nil.
func (s *pendingStarts) remove(p *pendingStart) {
	if p == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byRequest[p.request], p)
	if len(s.byRequest[p.request]) == 0 {
		delete(s.byRequest, p.request)
	}
}

// abandon marks a start whose run no longer waits for its outcome. It does
// nothing for nil.
func (s *pendingStarts) abandon(p *pendingStart) {
	if p == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.abandoned = true
}

// of returns the starts of a request.
func (s *pendingStarts) of(request string) []*pendingStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pendingStart, 0, len(s.byRequest[request]))
	for p := range s.byRequest[request] {
		out = append(out, p)
	}
	return out
}

// abandoned returns all starts that are marked as abandoned.
func (s *pendingStarts) abandoned() []*pendingStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pendingStart
	for _, set := range s.byRequest {
		for p := range set {
			if p.abandoned {
				out = append(out, p)
			}
		}
	}
	return out
}
