package plan

import "time"

// pool is the executors of a service that may get new work.
type pool struct {
	executors []*executor
}

// Avoid names a zone whose executors get no new work, empty for none.
func (s *State) Avoid(zone string) { s.avoidedZone = zone }

func (s *State) newPool(service string, now time.Time) *pool {
	p := &pool{}
	for _, e := range s.executors {
		if e.info.Service == service && s.schedulable(e, now) && (s.avoidedZone == "" || e.info.Zone != s.avoidedZone) {
			p.executors = append(p.executors, e)
		}
	}
	return p
}
