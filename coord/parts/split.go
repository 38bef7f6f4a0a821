package parts

import (
	"sync"
	"time"
)

// split is what a holder has of one team's limit.
type split struct {
	team string

	mu     sync.Mutex      // guards the fields below; not held over a call
	part   int64           // what may run
	used   int64           // what runs; above part after an adoption
	parked int64           // of part: taken by tasks that run on under another holder
	heirs  map[string]bool // holders to which tasks were passed
	since  time.Time       // when parked last grew
	passed time.Time       // since, when it was decided to forget what is parked
	needed time.Time       // when more was last claimed or given
	short  bool            // the last Settle didn't cover all that was lacking
	excess bool            // the last Settle left more handed out than the limit
	demand int64           // what was refused since the last Settle

	joined  bool
	round   uint64
	record  int64 // held when the round was entered
	owed    int64 // of the record: what ran above the part
	written bool  // whether the record is in the row
	seq     uint64
	doubts  map[uint64]*proposal // writes whose effect isn't known, by Seq
	back    int64                // lowered, to be returned to the row
	forget  map[uint64]int64     // parked to be forgotten on entering a round
	gifts   map[string]gift      // last gift by receiver
	asks    map[string]uint64    // open ask by giver; 0 if there is none
	askSeq  map[string]uint64
}

// gift is what was given to one receiver last.
type gift struct {
	seq uint64
	n   int64
	at  time.Time
}

// proposal is what a write of the row does to the holder, once it is known to
// have taken effect.
type proposal struct {
	gain    int64
	back    int64
	owed    int64
	pulled  bool // the zone got more
	record  bool
	joins   bool
	next    uint64 // the round that the write started, or 0
	forgets int64
}

func newSplit(team string) *split {
	return &split{
		team: team, heirs: make(map[string]bool), doubts: make(map[uint64]*proposal), forget: make(map[uint64]int64),
		gifts: make(map[string]gift), asks: make(map[string]uint64), askSeq: make(map[string]uint64),
	}
}

func (s *split) free() int64 { return s.part - s.parked - s.used }

func (s *split) take(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free() < n {
		s.demand = max(s.demand, n)
		return false
	}
	s.used += n
	return true
}

func (s *split) adopt(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used += n
}

func (s *split) give(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
}

func (s *split) pass(n int64, heir string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
	s.parked += n
	s.since = now
	s.heirs[heir] = true
}

// unconfirmed reports whether a gift of before the given time may not have
// arrived.
func (s *split) unconfirmed(before time.Time) bool {
	for _, g := range s.gifts {
		if g.n > 0 && !g.at.After(before) {
			return true
		}
	}
	return false
}

// enter starts a round: it fixes what the holder records in it.
func (s *split) enter(round uint64) {
	drop := min(s.forget[round], s.parked)
	if s.since.After(s.passed) { // tasks passed since then are not adopted yet
		drop = 0
	}
	if s.parked -= drop; s.parked == 0 {
		clear(s.heirs)
	}
	s.part -= drop
	s.round, s.written = round, false
	s.record = s.part + s.back
	s.owed = max(s.used+s.parked-s.part, 0)
	s.record += s.owed
	clear(s.gifts)
	clear(s.asks)
	clear(s.forget)
}

// apply carries out what a write did.
func (s *split) apply(p *proposal, now time.Time) {
	if p.gain > 0 {
		s.needed = now
	}
	s.part += p.gain + p.owed
	s.owed -= p.owed
	s.back -= p.back
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
