package parts

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

// maxConflicts is how often Settle tries again when others write the row.
const maxConflicts = 16

// keepTime is how long a part that was needed is kept unused.
const keepTime = 10 * time.Second

// Settle brings a team's row and the holder's part into line with one
// another: it records the holder in the present round, claims up to spare
// more than what runs and was refused, and returns what exceeds that. It is
// called from time to time for each of Teams, and when Wants stays after the
// peers were asked. Its error is the platform's; the part stays valid then.
func (h *Holder) Settle(ctx context.Context, t Table, team string, spare Amount) error {
	s := h.split(team)
	for range maxConflicts {
		done, err := h.step(ctx, t, s, spare)
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

// step reads the row and writes it once; done is true if nothing was left to
// write.
func (h *Holder) step(ctx context.Context, t Table, s *split, spare Amount) (done bool, err error) {
	a, version, err := read(ctx, t, s.team)
	if err != nil {
		return false, err
	}
	seq, p := h.propose(s, a, spare)
	if p == nil {
		return true, nil
	}
	err = write(ctx, t, s.team, a, version)
	h.learn(s, seq, err)
	return false, err
}

// learn notes what became of a write.
func (h *Holder) learn(s *split, seq uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.doubts[seq]
	if p == nil {
		return
	}
	var conflict *store.ConflictError
	switch {
	case err == nil:
		delete(s.doubts, seq)
		s.apply(p, h.timer.Now())
		s.demand = Amount{}
	case errors.As(err, &conflict):
		delete(s.doubts, seq)
	}
}

// resolve carries out the write that the row shows as the holder's last, and
// drops those before it, which can take effect no more.
func (s *split) resolve(seq uint64, now time.Time) {
	if p := s.doubts[seq]; p != nil {
		s.apply(p, now)
	}
	for n := range s.doubts {
		if n <= seq {
			delete(s.doubts, n)
		}
	}
}

// propose changes the account as the holder wants it and returns what that
// does to the holder, or nil if there is nothing to change.
func (h *Holder) propose(s *split, a *Account, spare Amount) (uint64, *proposal) {
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
		s.enter(z.Round, a.dims())
	}
	if !s.written && !p.joins {
		e.Round, e.Held, p.record = s.round, s.record, true
	}
	theirs, mine := h.tell(s, a, e, p)
	if mine {
		s.demand, spare = s.demand.most(a.dims().only(s.large.need)), Amount{}
	}
	h.trim(s, a, z, e, p, spare, theirs)
	h.claim(s, a, z, e, p, spare, theirs, mine)
	h.recount(s, z, p)
	if *p == (proposal{}) && a.Accepted() {
		s.demand = Amount{} // what is refused still will be noted again
		return 0, nil
	}
	handed := a.Handed()
	a.shrink(z)
	if *p == (proposal{}) && handed == a.Handed() {
		return 0, nil
	}
	s.seq++
	e.Seq = s.seq
	s.doubts[s.seq] = p
	return s.seq, p
}

// join enters a holder that the row doesn't know: a new one, or one that was
// buried although it lived, whose part has gone to others.
func (h *Holder) join(s *split, a *Account, z *Zone, p *proposal) {
	s.part, s.parked, s.back = Amount{}, Amount{}, Amount{}
	s.joined = false
	clear(s.gifts)
	s.enter(z.Round, a.dims())
	z.Holders[h.name] = &Entry{Round: s.round, Held: s.record}
	p.joins = true
}

// trim returns what the holder doesn't need, and all that it has free of what
// another gathers.
func (h *Holder) trim(s *split, a *Account, z *Zone, e *Entry, p *proposal, spare, theirs Amount) {
	idle, over := h.timer.Now().Sub(s.needed) >= keepTime, a.over()
	for i := range size {
		if !a.dims().Has(i) {
			continue
		}
		keep, now := spare[i], idle
		if over[i] > 0 {
			s.demand[i] = 0
		}
		demand := s.demand[i]
		if over[i] > 0 || theirs[i] > 0 {
			keep, now, demand = 0, true, 0
		}
		if n := s.free()[i] - keep - demand; now && n > keep && n > 0 {
			s.part[i] -= n
			s.back[i] += n
		}
	}
	if s.back.Any() && e.Round == z.Round {
		p.back = s.back
		e.Held = e.Held.Sub(s.back)
	}
}

// claim covers what runs above the part, then takes what the holder lacks and
// no other gathers. If mine is true, it is the holder that gathers.
func (h *Holder) claim(s *split, a *Account, z *Zone, e *Entry, p *proposal, spare, theirs Amount, mine bool) {
	slack, ok := z.slack()
	s.short = false
	for i := range size {
		if !a.dims().Has(i) {
			continue
		}
		short := s.demand[i] > s.free()[i]
		if ok {
			short = s.claim(a, z, e, p, i, slack[i], spare[i], theirs[i] > 0, mine)
		}
		s.short = s.short || short
	}
}

// claim does for one resource what Holder.claim does for all. It reports
// whether more is lacking still.
func (s *split) claim(a *Account, z *Zone, e *Entry, p *proposal, i int, slack, spare int64, yields, mine bool) (short bool) {
	if slack < 0 {
		got := a.pull(z, i, -slack, false)
		if slack += got; got > 0 {
			p.pulled = true
		}
	}
	if s.owed[i] > 0 && s.owed[i]+min(slack, 0) > 0 {
		p.owed[i] = s.owed[i] + min(slack, 0)
	}
	lack := s.demand[i] - s.free()[i] - p.owed[i]
	if lack <= 0 || slack < 0 || a.over()[i] > 0 || yields {
		return s.demand[i] > s.free()[i]
	}
	lack += spare
	got := min(lack, slack)
	got += a.pull(z, i, lack-got, mine)
	e.Held[i] += got
	p.gain[i] = got
	if got > 0 {
		s.demand[i] = 0
	}
	return got < lack-spare
}

// recount starts a round if a recount would free room: gifts that may not
// have arrived, or what passed tasks took.
func (h *Holder) recount(s *split, z *Zone, p *proposal) {
	now := h.timer.Now()
	stale := s.parked.Any() && now.Sub(s.since) >= h.linger
	for heir := range s.heirs {
		stale = stale && (heir == "" || z.knows(heir))
	}
	missing := s.unconfirmed(now.Add(-h.linger))
	if _, ok := z.slack(); !ok || (!stale && !missing) || !s.written {
		return
	}
	z.Round++
	p.next = z.Round
	if stale {
		p.forgets = s.parked
		s.passed = s.since
	}
}
