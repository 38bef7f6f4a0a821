package parts

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

// split is what a holder has of one team's limit.
type split struct {
	team string

	mu     sync.Mutex      // guards the fields below; not held over a call
	part   Amount          // what may run
	used   Amount          // what runs; above part after an adoption
	parked Amount          // of part: taken by tasks that run on under another holder
	heirs  map[string]bool // holders to which tasks were passed
	since  time.Time       // when parked last grew
	passed time.Time       // since, when it was decided to forget what is parked
	needed time.Time       // when more was last claimed or given
	short  bool            // the last Settle didn't cover all that was lacking
	demand Amount          // what was refused since the last Settle

	large   large
	bound   Bound // the limit in the row seen last
	over    Dims  // resources of which more was handed out there than the limit
	told    bool  // whether the row has what the holder needs as a whole
	joined  bool
	round   uint64
	record  Amount // held when the round was entered
	owed    Amount // of the record: what ran above the part
	written bool   // whether the record is in the row
	seq     uint64
	doubts  map[uint64]*proposal // writes whose effect isn't known, by Seq
	back    Amount               // lowered, to be returned to the row
	forget  map[uint64]Amount    // parked to be forgotten on entering a round
	gifts   map[string]gift      // last gift by receiver
	asks    map[string]uint64    // open ask by giver; 0 if there is none
	askSeq  map[string]uint64
}

// gift is what was given to one receiver last.
type gift struct {
	seq uint64
	n   Amount
	at  time.Time
}

// proposal is what a write of the row does to the holder, once it is known to
// have taken effect.
type proposal struct {
	gain    Amount
	back    Amount
	owed    Amount
	pulled  bool // the zone got more
	told    bool // what the holder needs as a whole has changed
	record  bool
	joins   bool
	next    uint64 // the round that the write started, or 0
	forgets Amount
}

func newSplit(team string) *split {
	return &split{
		team: team, heirs: make(map[string]bool), doubts: make(map[uint64]*proposal), forget: make(map[uint64]Amount),
		gifts: make(map[string]gift), asks: make(map[string]uint64), askSeq: make(map[string]uint64),
	}
}

func (s *split) free() Amount { return s.part.Sub(s.parked).Sub(s.used) }

// take counts n if it fits the part of each resource that is limited. What n
// doesn't need can't keep it from starting.
func (s *split) take(n Amount, limited Dims, t *timer.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(n, limited, t) {
		return false
	}
	s.used = s.used.Add(n)
	s.large.start(limited.only(n))
	return true
}

// room reports what take would.
func (s *split) room(n Amount, limited Dims, t *timer.Service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fits(n, limited, t) {
		return false
	}
	s.needed = t.Now()
	return true
}

// fits reports whether n fits; if it doesn't, it is noted as refused. Of a
// resource whose limit was lowered nothing fits before the parts handed out
// do, or what ends would make room for the next here and never come back.
func (s *split) fits(n Amount, limited Dims, t *timer.Service) bool {
	free := s.free()
	for i, k := range n {
		if k > 0 && limited.Has(i) && s.over.Has(i) {
			return false
		}
	}
	for i, k := range n {
		if k > 0 && free[i] < k && limited.Has(i) {
			s.demand = s.demand.most(limited.only(n))
			s.large.refuse(limited.only(n), t.Now())
			return false
		}
	}
	return true
}

func (s *split) adopt(n Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Add(n)
}

func (s *split) give(n Amount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Sub(n)
}

func (s *split) pass(n Amount, heir string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = s.used.Sub(n)
	s.parked = s.parked.Add(n)
	s.since = now
	s.heirs[heir] = true
}

// unconfirmed reports whether a gift of before the given time may not have
// arrived.
func (s *split) unconfirmed(before time.Time) bool {
	for _, g := range s.gifts {
		if g.n.Any() && !g.at.After(before) {
			return true
		}
	}
	return false
}

// enter starts a round: it fixes what the holder records in it. What runs
// above the part counts where there is a limit.
func (s *split) enter(round uint64, limited Dims) {
	drop := s.forget[round].least(s.parked)
	if s.since.After(s.passed) { // tasks passed since then are not adopted yet
		drop = Amount{}
	}
	if s.parked = s.parked.Sub(drop); !s.parked.Any() {
		clear(s.heirs)
	}
	for i := range drop { // what runs above the part doesn't count without a limit
		if !limited.Has(i) {
			drop[i] = min(drop[i], max(s.part[i], 0))
		}
	}
	s.part = s.part.Sub(drop)
	s.round, s.written = round, false
	s.owed = limited.only(Amount{}.Sub(s.free()).most(Amount{}))
	s.record = s.part.Add(s.back).Add(s.owed)
	clear(s.gifts)
	clear(s.asks)
	clear(s.forget)
}

// apply carries out what a write did.
func (s *split) apply(p *proposal, now time.Time) {
	if p.gain.Any() {
		s.needed = now
	}
	s.part = s.part.Add(p.gain).Add(p.owed)
	s.owed = s.owed.Sub(p.owed)
	s.back = s.back.Sub(p.back)
	if p.joins {
		s.joined = true
	}
	if p.record || p.joins {
		s.written = true
	}
	if p.next > 0 {
		s.forget[p.next] = p.forgets
	}
}
