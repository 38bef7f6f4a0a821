package plan

import "time"

// Exclusion is the reason why an executor gets no new work.
type Exclusion int

// The reasons why an executor gets no new work. If several apply, the first counts.
const (
	NotExcluded  Exclusion = iota
	Unregistered           // it has no entry
	Draining               // it is draining, or has lost its entry
	Unresponsive           // it doesn't answer
	Unreported             // it may have runs that this owner doesn't know
	Unrecorded             // a successor wouldn't know of it
	Closed                 // the stored record may name it as closed
	BackedOff              // it refused a start, or runs on it failed or made no progress
	ZoneAvoided            // runs in its zone can't be recorded before they start
	Evacuated              // its zone is being evacuated
)

// Exclusions lists all reasons for an exclusion.
func Exclusions() []Exclusion {
	return []Exclusion{Unregistered, Draining, Unresponsive, Unreported, Unrecorded, Closed, BackedOff, ZoneAvoided, Evacuated}
}

// String returns the reason's name, such as "draining".
func (x Exclusion) String() string {
	switch x {
	case NotExcluded:
		return "none"
	case Unregistered:
		return "unregistered"
	case Draining:
		return "draining"
	case Unresponsive:
		return "silent"
	case Unreported:
		return "unreported"
	case Unrecorded:
		return "unrecorded"
	case Closed:
		return "closed"
	case BackedOff:
		return "backoff"
	case ZoneAvoided:
		return "zone"
	case Evacuated:
		return "evacuated"
	}
	return "unknown"
}

// exclusion returns why an executor gets no new work at now.
func (s *State) exclusion(e *executor, now time.Time) Exclusion {
	switch {
	case e.info.Service == "":
		return Unregistered
	case e.info.Draining:
		return Draining
	case e.silent:
		return Unresponsive
	case !e.runsKnown:
		return Unreported
	case e.unrecorded:
		return Unrecorded
	case s.maybeClosed[e.info.ID]:
		return Closed
	case now.Before(e.backoffUntil):
		return BackedOff
	case s.avoidedZone != "" && e.info.Zone == s.avoidedZone:
		return ZoneAvoided
	case s.evacuated[e.info.Zone]:
		return Evacuated
	}
	return NotExcluded
}

// CountExclusions returns the number of executors that get no new work at now, by reason.
func (s *State) CountExclusions(now time.Time) map[Exclusion]int {
	out := make(map[Exclusion]int)
	for _, e := range s.executors {
		if x := s.exclusion(e, now); x != NotExcluded {
			out[x]++
		}
	}
	return out
}
