package plan

import "time"

// pool is the executors of a service that may get new work.
type pool struct {
	workers []*worker
}

func (s *State) pool(service string, now time.Time) *pool {
	p := &pool{}
	for _, w := range s.execs {
		if w.info.Service == service && s.open(w, now) {
			p.workers = append(p.workers, w)
		}
	}
	return p
}
