package exec

import "sync"

// starts has the starts that may still begin. An endpoint's room stays taken
// for each of them, which bounds their number. All methods may be called
// concurrently.
type starts struct {
	mu        sync.Mutex // guards byRequest
	byRequest map[string]map[*pending]struct{}
}

func newStarts() *starts { return &starts{byRequest: make(map[string]map[*pending]struct{})} }

func (s *starts) add(p *pending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRequest[p.request] == nil {
		s.byRequest[p.request] = make(map[*pending]struct{})
	}
	s.byRequest[p.request][p] = struct{}{}
}

// drop forgets a start whose fate is known. It does nothing for nil.
func (s *starts) drop(p *pending) {
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

// giveUp notes that no run looks for the start's fate any more.
func (s *starts) giveUp(p *pending) {
	if p == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.given = true
}

// of returns the starts of a request.
func (s *starts) of(request string) []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*pending, 0, len(s.byRequest[request]))
	for p := range s.byRequest[request] {
		out = append(out, p)
	}
	return out
}

// givenUp returns the starts of all requests whose runs were given up.
func (s *starts) givenUp() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*pending
	for _, set := range s.byRequest {
		for p := range set {
			if p.given {
				out = append(out, p)
			}
		}
	}
	return out
}
