package plan

import "time"

// pool is the executors of a service that may get new work.
type pool struct {
	workers []*worker
}

// Avoid names a zone whose executors get no new work, empty for none.
func (s *State) Avoid(zone string) { s.avoided = zone }

func (s *State) pool(service string, now time.Time) *pool {
	p := &pool{}
	for _, w := range s.execs {
		if w.info.Service == service && s.open(w, now) && (s.avoided == "" || w.info.Zone != s.avoided) {
			p.workers = append(p.workers, w)
		}
	}
	return p
}
