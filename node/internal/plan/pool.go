package plan

import "time"

// pool holds the executors of a service that accept new work.
type pool struct {
	executors []*executor
}

// AvoidZone excludes the executors of a zone from new work. An empty name excludes
// none.
func (s *State) AvoidZone(zone string) { s.avoidedZone = zone }

// newPool returns the executors of a service that accept new work at now.
func (s *State) newPool(service string, now time.Time) *pool {
	p := &pool{}
	for _, e := range s.executors {
		if e.info.Service == service && s.schedulable(e, now) && (s.avoidedZone == "" || e.info.Zone != s.avoidedZone) {
			p.executors = append(p.executors, e)
		}
	}
	return p
}
