package parts

// grantDivisor limits a grant to 1/grantDivisor of the giver's free part, rounded
// up. What is reserved for passed tasks is granted in addition (see Serve).
const grantDivisor = 2

// ones is one unit of each resource. Adding it before halving rounds up.
var ones = Amount{1, 1, 1, 1, 1}

// Ask returns the message that requests n of a team's limit from another holder
// of the zone. While an earlier Ask to that holder is unanswered, its sequence
// number is used again.
func (h *Holder) Ask(giver, team string, n Amount) Ask {
	s := h.teamPart(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openAsks[giver] == 0 {
		s.askSeq[giver]++
		s.openAsks[giver] = s.askSeq[giver]
	}
	return Ask{Team: team, From: h.name, Round: s.round, Seq: s.openAsks[giver], Want: n, Debt: Amount{}.Sub(s.free()).max(Amount{})}
}

// Serve answers another holder's Ask. It grants up to half of the free part,
// rounded up. What is reserved for passed tasks is granted in full, but only for
// tasks that run above the asker's part. During its own turn the holder keeps
// what its large request needs. Serve is idempotent for the latest Ask of each
// holder.
func (h *Holder) Serve(a Ask) Grant {
	s := h.teamPart(a.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := Grant{Team: a.Team, Giver: h.name, Round: s.round, Seq: a.Seq}
	last := s.transfers[a.From]
	if !s.joined || a.Round != s.round || a.Seq < last.seq || a.From == h.name {
		grant.Seq = 0
		return grant
	}
	if a.Seq == last.seq {
		grant.N = last.n
		return grant
	}
	reserved := a.Want.min(a.Debt).min(s.reserved).max(Amount{})
	spare := s.free()
	if s.large.turnHolder == h.name {
		spare = spare.Sub(s.large.need)
	}
	half := spare.Add(ones).Div(grantDivisor)
	n := reserved.Add(a.Want.Sub(reserved).min(half).max(Amount{}))
	s.reserved = s.reserved.Sub(reserved)
	s.part = s.part.Sub(n)
	s.transfers[a.From] = transfer{seq: a.Seq, n: n, at: h.timer.Now()}
	grant.N = n
	return grant
}

// Accept adds a granted amount to the part and returns it. A Grant that is a
// duplicate or too late adds nothing. The caller should confirm a Grant that
// added something by sending the giver an Ask for nothing; otherwise the giver
// starts a new round after the linger time.
func (h *Holder) Accept(g Grant) Amount {
	s := h.teamPart(g.Team)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.joined || g.Seq == 0 || g.Round != s.round || s.openAsks[g.Giver] != g.Seq {
		return Amount{}
	}
	s.openAsks[g.Giver] = 0
	s.part = s.part.Add(g.N)
	if g.N.Any() {
		s.demand, s.neededAt = Amount{}, h.timer.Now()
	}
	return g.N
}
