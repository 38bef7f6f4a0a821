package parts

// halves is into how many shares a giver divides what it has free; it keeps
// one of them. ones is added to round up.
const halves = 2

var ones = Amount{1, 1, 1, 1, 1}

// Ask returns what to send to another holder of the zone to be given n of a
// team's part. While the answer to an earlier Ask is open, the same Ask is
// returned again.
func (h *Holder) Ask(giver, team string, n Amount) Ask {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asks[giver] == 0 {
		s.askSeq[giver]++
		s.asks[giver] = s.askSeq[giver]
	}
	return Ask{Team: team, From: h.name, Round: s.round, Seq: s.asks[giver], Want: n, Debt: Amount{}.Sub(s.free()).most(Amount{})}
}

// Serve answers another holder's Ask. The holder keeps half of what it has
// free, but gives all that passed tasks took to who runs them. If it is its turn
// to gather parts, it keeps what it needs as a whole.
func (h *Holder) Serve(a Ask) Grant {
	s := h.split(a.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Grant{Team: a.Team, Giver: h.name, Round: s.round, Seq: a.Seq}
	last := s.gifts[a.From]
	if !s.joined || a.Round != s.round || a.Seq < last.seq || a.From == h.name {
		answer.Seq = 0
		return answer
	}
	if a.Seq == last.seq {
		answer.N = last.n
		return answer
	}
	parked := a.Want.least(a.Debt).least(s.parked).most(Amount{})
	spare := s.free()
	if s.large.first == h.name {
		spare = spare.Sub(s.large.need)
	}
	half := spare.Add(ones).Over(halves)
	n := parked.Add(a.Want.Sub(parked).least(half).most(Amount{}))
	s.parked = s.parked.Sub(parked)
	s.part = s.part.Sub(n)
	s.gifts[a.From] = gift{seq: a.Seq, n: n, at: h.timer.Now()}
	answer.N = n
	return answer
}

// Accept takes what a giver gave and returns how much it was. A Grant that
// comes twice or too late gives nothing. If it gave something, an Ask for
// nothing tells the giver that it arrived; without it, the giver starts a
// round after the linger time.
func (h *Holder) Accept(g Grant) Amount {
	s := h.split(g.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joined || g.Seq == 0 || g.Round != s.round || s.asks[g.Giver] != g.Seq {
		return Amount{}
	}
	s.asks[g.Giver] = 0
	s.part = s.part.Add(g.N)
	if g.N.Any() {
		s.demand, s.needed = Amount{}, h.timer.Now()
	}
	return g.N
}
