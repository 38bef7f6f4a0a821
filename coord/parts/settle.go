package parts

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

// maxConflicts bounds the writes of one Settle, which retries after a conflict.
const maxConflicts = 16

// idleTimeout is how long a holder keeps an unused part before it returns it.
const idleTimeout = 10 * time.Second

// Settle reconciles the holder's part with a team's row. It records the holder in
// the current round, claims what running and refused tasks need plus up to spare,
// and returns what exceeds that. Call it periodically for each of Teams, and when
// Wants is not empty after all peers have answered. Its error is that of the
// platform or a *RowError; the part stays valid then. Under constant conflicts
// Settle gives up and returns nil.
func (h *Holder) Settle(ctx context.Context, t Table, team string, spare Amount) error {
	s := h.teamPart(team)
	for range maxConflicts {
		done, err := h.settleOnce(ctx, t, s, spare)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil || done {
			return err
		}
	}
	return nil
}

// settleOnce reads the row and writes it if necessary; done is true if there was
// nothing to write.
func (h *Holder) settleOnce(ctx context.Context, t Table, s *teamPart, spare Amount) (done bool, err error) {
	a, version, err := read(ctx, t, s.team)
	if err != nil {
		return false, err
	}
	seq, p := h.propose(s, a, spare)
	if p == nil {
		return true, nil
	}
	err = write(ctx, t, s.team, a, version)
	h.finishWrite(s, seq, err)
	return false, err
}

// finishWrite applies a write that succeeded and drops one that conflicted. After
// any other error the write stays in doubt.
func (h *Holder) finishWrite(s *teamPart, seq uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.inDoubt[seq]
	if p == nil {
		return
	}
	var conflict *store.ConflictError
	switch {
	case err == nil:
		delete(s.inDoubt, seq)
		s.apply(p, h.timer.Now())
		s.demand = Amount{}
	case errors.As(err, &conflict):
		delete(s.inDoubt, seq)
	}
}

// resolve resolves writes in doubt, given the sequence number of the holder's
// last write in the row. It applies that write and drops all earlier ones, which
// can no longer take effect.
func (s *teamPart) resolve(seq uint64, now time.Time) {
	if p := s.inDoubt[seq]; p != nil {
		s.apply(p, now)
	}
	for n := range s.inDoubt {
		if n <= seq {
			delete(s.inDoubt, n)
		}
	}
}

// propose makes the holder's changes to the account. It returns the sequence
// number of the write and its effects on the holder, or nil if there is nothing
// to write.
func (h *Holder) propose(s *teamPart, a *Account, spare Amount) (uint64, *proposal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	z := a.zone(h.zone)
	e := z.Holders[h.name]
	if e != nil {
		s.resolve(e.Seq, h.timer.Now())
	}
	s.bound, s.over = a.Bound(), a.exceeded()
	p := &proposal{}
	switch {
	case e == nil:
		h.join(s, a, z, p)
		e = z.Holders[h.name]
	case s.round < z.Round:
		s.enterRound(z.Round, a.dims())
	}
	if !s.recorded && !p.joins {
		e.Round, e.Held, p.record = s.round, s.record, true
	}
	yield, myTurn := h.announce(s, a, e, p)
	if myTurn {
		s.demand, spare = s.demand.max(a.dims().only(s.large.need)), Amount{}
	}
	h.returnUnused(s, a, z, e, p, spare, yield)
	h.claim(s, a, z, e, p, spare, yield, myTurn)
	h.startRound(s, z, p)
	if *p == (proposal{}) && a.Accepted() {
		s.demand = Amount{} // a task that is still refused adds its demand again
		return 0, nil
	}
	allocated := a.Allocated()
	a.shrinkZone(z)
	if *p == (proposal{}) && allocated == a.Allocated() {
		return 0, nil
	}
	s.seq++
	e.Seq = s.seq
	s.inDoubt[s.seq] = p
	return s.seq, p
}

// join adds an entry for a holder that has none: a new one, or a live one that
// was removed by mistake and whose part may have been given to others.
func (h *Holder) join(s *teamPart, a *Account, z *Zone, p *proposal) {
	s.part, s.reserved, s.returning = Amount{}, Amount{}, Amount{}
	s.joined = false
	clear(s.transfers)
	s.enterRound(z.Round, a.dims())
	z.Holders[h.name] = &Entry{Round: s.round, Held: s.record}
	p.joins = true
}

// returnUnused lowers the part by what the holder doesn't need, and by all that
// is free of resources that another holder collects or whose limit is exceeded.
// The difference goes back to the row once the holder is recorded in the round.
func (h *Holder) returnUnused(s *teamPart, a *Account, z *Zone, e *Entry, p *proposal, spare, yield Amount) {
	idle, over := h.timer.Now().Sub(s.neededAt) >= idleTimeout, a.excess()
	for i := range size {
		if !a.dims().Has(i) {
			continue
		}
		keep, returnNow := spare[i], idle
		if over[i] > 0 {
			s.demand[i] = 0
		}
		demand := s.demand[i]
		if over[i] > 0 || yield[i] > 0 {
			keep, returnNow, demand = 0, true, 0
		}
		if n := s.free()[i] - keep - demand; returnNow && n > keep && n > 0 {
			s.part[i] -= n
			s.returning[i] += n
		}
	}
	if s.returning.Any() && e.Round == z.Round {
		p.returned = s.returning
		e.Held = e.Held.Sub(s.returning)
	}
}

// claim raises the part. It covers first what runs above the part, then what the
// holder lacks of resources that no other holder collects. If myTurn is true, it
// may take the standing parts of other zones.
func (h *Holder) claim(s *teamPart, a *Account, z *Zone, e *Entry, p *proposal, spare, yield Amount, myTurn bool) {
	slack, ok := z.slack()
	s.short = false
	for i := range size {
		if !a.dims().Has(i) {
			continue
		}
		short := s.demand[i] > s.free()[i]
		if ok {
			short = s.claimResource(a, z, e, p, i, slack[i], spare[i], yield[i] > 0, myTurn)
		}
		s.short = s.short || short
	}
}

// claimResource is Holder.claim for resource i. slack is what the zone has left of
// it. If slack is negative, more runs than the zone's part, and the zone's part is
// raised first. Then the holder's part is raised to cover its deficit, as far as
// the zone's part allows. What is left of the slack and of other zones covers the
// demand of refused tasks, and then spare. claimResource reports whether some of
// the demand is still not covered.
func (s *teamPart) claimResource(a *Account, z *Zone, e *Entry, p *proposal, i int, slack, spare int64, mustYield, myTurn bool) (short bool) {
	if slack < 0 {
		got := a.growZone(z, i, -slack, false)
		if slack += got; got > 0 {
			p.pulled = true
		}
	}
	if s.deficit[i] > 0 && s.deficit[i]+min(slack, 0) > 0 {
		p.covered[i] = s.deficit[i] + min(slack, 0)
	}
	lack := s.demand[i] - s.free()[i] - p.covered[i]
	if lack <= 0 || slack < 0 || a.excess()[i] > 0 || mustYield {
		return s.demand[i] > s.free()[i]
	}
	lack += spare
	got := min(lack, slack)
	got += a.growZone(z, i, lack-got, myTurn)
	e.Held[i] += got
	p.gain[i] = got
	if got > 0 {
		s.demand[i] = 0
	}
	return got < lack-spare
}

// startRound starts a new round if it would free something: transfers that may
// not have arrived, or reservations for passed tasks.
func (h *Holder) startRound(s *teamPart, z *Zone, p *proposal) {
	now := h.timer.Now()
	stale := s.reserved.Any() && now.Sub(s.reservedAt) >= h.linger
	for successor := range s.successors {
		stale = stale && (successor == "" || z.hasSeen(successor))
	}
	unconfirmed := s.hasUnconfirmed(now.Add(-h.linger))
	if _, ok := z.slack(); !ok || (!stale && !unconfirmed) || !s.recorded {
		return
	}
	z.Round++
	p.nextRound = z.Round
	if stale {
		p.releases = s.reserved
		s.releaseAsOf = s.reservedAt
	}
}
