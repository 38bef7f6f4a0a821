package parts

import "time"

const (
	// tellTime is for how long something has to be refused before others are
	// told to leave their unused parts to it.
	tellTime = 5 * time.Second
	// gatherTime is how long they do so; then the next that waits has its turn.
	gatherTime = 2 * time.Minute
)

// large is what a holder refused as a whole and is too large for its part. Its
// task starts only if one part holds all of it, however much the limit has.
type large struct {
	need  Amount    // zero if there is none
	since time.Time // first refused
	last  time.Time // refused last

	first string    // holder whose turn it was in the row seen last, or empty
	turn  uint64    // of it
	seen  time.Time // when that was first seen
}

// refuse notes a refusal. The largest of those that contain one another counts.
func (l *large) refuse(n Amount, now time.Time) {
	if l.lapsed(now) {
		l.need, l.since = n, now
	}
	if l.need.Sub(n).Any() {
		return
	}
	l.need, l.last = n, now
}

// start notes that n has started.
func (l *large) start(n Amount) {
	if !l.need.Sub(n).Any() {
		l.need = Amount{}
	}
}

// lapsed reports whether nothing was refused lately.
func (l *large) lapsed(now time.Time) bool { return !l.need.Any() || now.Sub(l.last) >= keepTime }

// tells returns what others are to be told. Single tasks and accelerators are
// never scattered, so nobody is told of them.
func (l *large) tells(told bool, free Amount, b Bound, now time.Time) Amount {
	need := b.Dims.only(l.need)
	if _, _, over := b.Exceeded(need); over || l.lapsed(now) || now.Sub(l.since) < tellTime {
		return Amount{}
	}
	lacks := need.Sub(free.most(ones))
	if !told && !lacks.Any() {
		return Amount{}
	}
	return need
}

// next returns the turn after all others.
func (a *Account) next() uint64 {
	last := uint64(0)
	for _, z := range a.Zones {
		for _, e := range z.Holders {
			last = max(last, e.Turn)
		}
	}
	return last + 1
}

// first returns whose turn it is to gather parts, or an empty name.
func (a *Account) first() (holder string, e *Entry) {
	for _, z := range a.Zones {
		for name, other := range z.Holders {
			if other.Turn > 0 && (e == nil || other.Turn < e.Turn) {
				holder, e = name, other
			}
		}
	}
	return holder, e
}

// tell writes what the holder needs as a whole into its entry, and takes it
// out once that has started or is refused no more. It returns what the holder
// whose turn it is needs, zero if that is the holder itself or nobody; mine is
// true if it is the holder itself.
func (h *Holder) tell(s *split, a *Account, e *Entry, p *proposal) (theirs Amount, mine bool) {
	l, now := &s.large, h.timer.Now()
	need := l.tells(e.Turn > 0, s.free(), a.Bound(), now)
	switch late := l.first == h.name && l.turn == e.Turn && now.Sub(l.seen) >= gatherTime; {
	case !need.Any() && e.Turn > 0:
		e.Want, e.Turn, p.told = Amount{}, 0, true
	case need.Any() && (e.Turn == 0 || late):
		e.Want, e.Turn, p.told = need, a.next(), true
	case need != e.Want:
		e.Want, p.told = need, true
	}
	s.told = e.Turn > 0
	first, entry := a.first()
	if entry == nil {
		l.first, l.turn = "", 0
		return Amount{}, false
	}
	if first != l.first || entry.Turn != l.turn {
		l.first, l.turn, l.seen = first, entry.Turn, now
	}
	if first == h.name {
		return Amount{}, true
	}
	if now.Sub(l.seen) >= gatherTime { // it may be dead
		return Amount{}, false
	}
	return entry.Want, false
}
