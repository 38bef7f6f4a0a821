package parts

import "time"

const (
	// announceDelay is how long a request has to be refused before the holder
	// announces it in the row, so that others leave their unused parts to it.
	announceDelay = 5 * time.Second
	// turnTimeout bounds a holder's turn. After it, the next waiting holder has
	// its turn, and others no longer yield to the first, which may be dead.
	turnTimeout = 2 * time.Minute
)

// largeRequest is a request that a holder refused because its part is too small.
// Such a task starts only once a single part can hold all of it, even if the
// limit as a whole has enough left.
type largeRequest struct {
	need         Amount // zero for none
	firstRefused time.Time
	lastRefused  time.Time

	turnHolder string    // holder whose turn it is in the row read last, or empty
	turn       uint64    // that holder's turn
	turnSeen   time.Time // when that turn was first read
}

// refuse records a refusal of n. It replaces the recorded need unless that is
// larger than n in some resource.
func (l *largeRequest) refuse(n Amount, now time.Time) {
	if l.lapsed(now) {
		l.need, l.firstRefused = n, now
	}
	if l.need.Sub(n).Any() {
		return
	}
	l.need, l.lastRefused = n, now
}

// start records that n has started. It clears the need if n covers it.
func (l *largeRequest) start(n Amount) {
	if !l.need.Sub(n).Any() {
		l.need = Amount{}
	}
}

// lapsed reports whether the need has not been refused for idleTimeout.
func (l *largeRequest) lapsed(now time.Time) bool {
	return !l.need.Any() || now.Sub(l.lastRefused) >= idleTimeout
}

// announcement returns the need to announce in the row, or zero for none. A need
// that exceeds the whole limit is not announced. Nor is a need of at most one
// unit of each resource, because no single unit is split between parts.
// announced is true if the row already has a need of this holder.
func (l *largeRequest) announcement(announced bool, free Amount, b Bound, now time.Time) Amount {
	need := b.Dims.only(l.need)
	if _, _, over := b.Exceeded(need); over || l.lapsed(now) || now.Sub(l.firstRefused) < announceDelay {
		return Amount{}
	}
	lacks := need.Sub(free.max(ones))
	if !announced && !lacks.Any() {
		return Amount{}
	}
	return need
}

// nextTurn returns a turn after those of all entries.
func (a *Account) nextTurn() uint64 {
	last := uint64(0)
	for _, z := range a.Zones {
		for _, e := range z.Holders {
			last = max(last, e.Turn)
		}
	}
	return last + 1
}

// currentTurn returns the holder whose turn it is, and its entry. If no entry has
// a turn, it returns an empty name and nil.
func (a *Account) currentTurn() (holder string, e *Entry) {
	for _, z := range a.Zones {
		for name, other := range z.Holders {
			if other.Turn > 0 && (e == nil || other.Turn < e.Turn) {
				holder, e = name, other
			}
		}
	}
	return holder, e
}

// announce writes the holder's large request into its entry, and removes it once
// the request has started or is no longer refused. myTurn is true if it is this
// holder's turn to collect parts. If it is another holder's turn, yield is the
// need of that holder, otherwise zero.
func (h *Holder) announce(s *teamPart, a *Account, e *Entry, p *proposal) (yield Amount, myTurn bool) {
	l, now := &s.large, h.timer.Now()
	need := l.announcement(e.Turn > 0, s.free(), a.Bound(), now)
	switch expired := l.turnHolder == h.name && l.turn == e.Turn && now.Sub(l.turnSeen) >= turnTimeout; {
	case !need.Any() && e.Turn > 0:
		e.Want, e.Turn, p.announces = Amount{}, 0, true
	case need.Any() && (e.Turn == 0 || expired):
		e.Want, e.Turn, p.announces = need, a.nextTurn(), true
	case need != e.Want:
		e.Want, p.announces = need, true
	}
	s.announced = e.Turn > 0
	first, entry := a.currentTurn()
	if entry == nil {
		l.turnHolder, l.turn = "", 0
		return Amount{}, false
	}
	if first != l.turnHolder || entry.Turn != l.turn {
		l.turnHolder, l.turn, l.turnSeen = first, entry.Turn, now
	}
	if first == h.name {
		return Amount{}, true
	}
	if now.Sub(l.turnSeen) >= turnTimeout { // that holder may be dead
		return Amount{}, false
	}
	return entry.Want, false
}
