package plan

import "time"

// A zone was cut off, its executors were recorded as closed, and they answer again. Each is found to
// answer at another time, within some poll intervals, and a write that is under way by then still
// names it. So they got new work in portions, one for each write. Not to name an executor is always safe:
// a successor that can't reach it waits for its leases to end. So once the first ones of such a zone
// answer, a record names none of its executors, and the others get work with their first report.

const (
	// returnTime is how long the executors of a zone may take to answer after the first one. Polls of a silent
	// one take 0.2 s each and have pauses of as much, and a connection that is being opened 0.5 s.
	returnTime = 2 * time.Second
	// returnPause is the least time from then until the zone may count as returning again, so that links that
	// come and go don't keep a zone from being recorded.
	returnPause = 10 * time.Second
	// minReturning is the number of closed executors from which a zone counts as cut off. Fewer need few writes.
	minReturning = 4
)

// zoneReturn is a zone that was cut off and of which executors answer again.
type zoneReturn struct {
	over  bool // the others are recorded as closed again
	until time.Time
	next  time.Time // it is forgotten then
}

// noteReturn notes that a silent executor has answered. Its zone counts as returning if more than half of its
// executors were closed.
func (s *State) noteReturn(e *executor, now time.Time) {
	zone := e.info.Zone
	if _, known := s.returns[zone]; known || zone == "" {
		return
	}
	all, closed := 0, 0
	for _, x := range s.executors {
		if x.info.Zone != zone || x.info.Service == "" || x.info.Draining {
			continue
		}
		all++
		if x.silent && s.maybeClosed[x.info.ID] {
			closed++
		}
	}
	if closed >= minReturning && closed > all/2 {
		s.returns[zone] = zoneReturn{until: now.Add(returnTime), next: now.Add(returnTime + returnPause)}
	}
}

// Returning reports whether the zone was cut off and its executors have begun to answer again. Those that don't
// answer yet aren't recorded as closed.
func (s *State) Returning(zone string) bool {
	r, ok := s.returns[zone]
	return ok && !r.over
}

// expireReturns ends the returns of zones whose time is over.
func (s *State) expireReturns(now time.Time) {
	for zone, r := range s.returns {
		switch {
		case !now.Before(r.next):
			delete(s.returns, zone)
		case !now.Before(r.until):
			r.over = true
			s.returns[zone] = r
		}
	}
}

// mayReturn reports whether a silent executor is expected to answer soon, and may get new work then.
func (s *State) mayReturn(e *executor) bool {
	return e.silent && !e.info.Draining && e.info.Service != "" && s.Returning(e.info.Zone)
}
