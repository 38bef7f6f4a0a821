package parts

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

// teamPart is a holder's state for one team's limit.
type teamPart struct {
	team string

	mu          sync.Mutex      // guards the fields below; not held during platform calls
	part        Amount          // allocated to the holder
	used        Amount          // taken by the holder's tasks; may exceed part after Adopt
	reserved    Amount          // of part: reserved for tasks that were passed to other holders
	successors  map[string]bool // holders that tasks were passed to
	reservedAt  time.Time       // when reserved last grew
	releaseAsOf time.Time       // reservedAt when the last release of reserved was proposed
	neededAt    time.Time       // when the part was last raised or found to have room
	short       bool            // the last Settle didn't cover the demand
	demand      Amount          // largest refused amount since the last Settle, by resource

	large     largeRequest
	bound     Bound // the limit in the row read last
	over      Dims  // resources of which that row allocates more than the limit
	announced bool  // the row has the holder's large request
	joined    bool  // the row is known to have an entry of the holder
	round     uint64
	record    Amount               // what the holder records in the round
	deficit   Amount               // of record: what ran above the part and isn't covered yet
	recorded  bool                 // record is known to be in the row
	seq       uint64               // sequence number of the last write
	inDoubt   map[uint64]*proposal // writes with an unknown outcome, by sequence number
	returning Amount               // already subtracted from part, to be returned to the row
	releases  map[uint64]Amount    // reservations to release, by the round that releases them
	transfers map[string]transfer  // latest transfer, by receiver
	openAsks  map[string]uint64    // sequence number of the unanswered Ask, by giver; 0 for none
	askSeq    map[string]uint64    // sequence number of the latest Ask, by giver
}

// transfer is the latest grant to one receiver.
type transfer struct {
	seq uint64 // of the Ask
	n   Amount
	at  time.Time
}

// proposal is the effect of a write of the row on the holder. It is applied once
// the write is known to have succeeded.
type proposal struct {
	gain      Amount // claimed
	returned  Amount // returned to the row
	covered   Amount // of the deficit: now covered by the part
	pulled    bool   // the zone's part was raised to cover deficits
	announces bool   // the announcement of the large request changes
	record    bool   // the holder records itself in the round
	joins     bool   // the holder adds its entry
	nextRound uint64 // round that the write starts, 0 for none
	releases  Amount // reservations that this round releases
}

func newTeamPart(team string) *teamPart {
	return &teamPart{
		team: team, successors: make(map[string]bool), inDoubt: make(map[uint64]*proposal), releases: make(map[uint64]Amount),
		transfers: make(map[string]transfer), openAsks: make(map[string]uint64), askSeq: make(map[string]uint64),
	}
}

// free returns the part that is neither taken nor reserved. It is negative where
// tasks run above the part.
func (s *teamPart) free() Amount { return s.part.Sub(s.reserved).Sub(s.used) }

// take takes n if it fits the free part of each limited resource. A resource
// that n doesn't need is not checked, so a deficit of it doesn't matter.
func (s *teamPart) take(n Amount, limited Dims, t *timer.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(n, limited, t) {
		return false
	}
	s.used = s.used.Add(n)
	s.large.start(limited.only(n))
	return true
}

// room reports whether take would succeed, and marks the part as needed if so.
func (s *teamPart) room(n Amount, limited Dims, t *timer.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(n, limited, t) {
		return false
	}
	s.neededAt = t.Now()
	return true
}

// fits reports whether n fits the free part, and records the demand if it
// doesn't. While the allocated parts exceed a lowered limit of a resource,
// nothing that needs the resource fits. Otherwise new tasks would take what ended
// tasks free here, and it would never be returned.
func (s *teamPart) fits(n Amount, limited Dims, t *timer.Service) bool {
	free := s.free()
	for i, k := range n {
		if k > 0 && limited.Has(i) && s.over.Has(i) {
			return false
		}
	}
	for i, k := range n {
		if k > 0 && free[i] < k && limited.Has(i) {
			s.demand = s.demand.max(limited.only(n))
			s.large.refuse(limited.only(n), t.Now())
			return false
		}
	}
	return true
}

func (s *teamPart) adopt(n Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Add(n)
}

func (s *teamPart) give(n Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Sub(n)
}

func (s *teamPart) pass(n Amount, successor string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Sub(n)
	s.reserved = s.reserved.Add(n)
	s.reservedAt = now
	s.successors[successor] = true
}

// hasUnconfirmed reports whether a transfer made at or before the given time may
// not have arrived.
func (s *teamPart) hasUnconfirmed(before time.Time) bool {
	for _, t := range s.transfers {
		if t.n.Any() && !t.at.After(before) {
			return true
		}
	}
	return false
}

// enterRound enters a round and determines what the holder records in it: its
// part, what it returns, and for limited resources what runs above the part.
func (s *teamPart) enterRound(round uint64, limited Dims) {
	drop := s.releases[round].min(s.reserved)
	if s.reservedAt.After(s.releaseAsOf) { // tasks passed since then may not be adopted yet
		drop = Amount{}
	}
	if s.reserved = s.reserved.Sub(drop); !s.reserved.Any() {
		clear(s.successors)
	}
	for i := range drop { // without a limit, tasks may run above the part: don't lower it below 0
		if !limited.Has(i) {
			drop[i] = min(drop[i], max(s.part[i], 0))
		}
	}
	s.part = s.part.Sub(drop)
	s.round, s.recorded = round, false
	s.deficit = limited.only(Amount{}.Sub(s.free()).max(Amount{}))
	s.record = s.part.Add(s.returning).Add(s.deficit)
	clear(s.transfers)
	clear(s.openAsks)
	clear(s.releases)
}

// apply applies a write that took effect to the holder.
func (s *teamPart) apply(p *proposal, now time.Time) {
	if p.gain.Any() {
		s.neededAt = now
	}
	s.part = s.part.Add(p.gain).Add(p.covered)
	s.deficit = s.deficit.Sub(p.covered)
	s.returning = s.returning.Sub(p.returned)
	if p.joins {
		s.joined = true
	}
	if p.record || p.joins {
		s.recorded = true
	}
	if p.nextRound > 0 {
		s.releases[p.nextRound] = p.releases
	}
}
