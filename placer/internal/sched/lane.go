package sched

// lane is the line of one team's entries of one queue and urgency, in the
// order of their submits. Entries that left are skipped and removed later, so
// that a cancellation costs the same wherever its entry stands.
type lane struct {
	queue   string
	urgent  bool
	rank    int
	entries []*entry
	head    int // entries before it left
	live    int // entries that wait
}

// minCompact is the length below which a lane isn't worth compacting.
const minCompact = 32

func (l *lane) push(e *entry) {
	l.trim()
	e.lane = l
	l.live++
	i := len(l.entries)
	for i > 0 && l.entries[i-1].seq > e.seq {
		i--
	}
	if i > 0 && l.entries[i-1] == e { // still in its old place
		l.head = min(l.head, i-1)
		return
	}
	l.entries = append(l.entries, nil)
	copy(l.entries[i+1:], l.entries[i:])
	l.entries[i] = e
	l.head = min(l.head, i)
}

// line returns the entries from the first one that waits, with those that
// left among them.
func (l *lane) line() []*entry {
	for l.head < len(l.entries) && l.entries[l.head].lane != l {
		l.head++
	}
	return l.entries[l.head:]
}

func (l *lane) remove(e *entry) {
	e.lane = nil
	l.live--
	l.trim()
}

// trim removes entries that left, once they are the majority.
func (l *lane) trim() {
	if len(l.entries) < minCompact && l.live > 0 {
		return
	}
	if l.live*2 > len(l.entries) {
		return
	}
	kept := l.entries[:0]
	for _, e := range l.entries {
		if e.lane == l {
			kept = append(kept, e)
		}
	}
	clear(l.entries[len(kept):])
	l.entries, l.head = kept, 0
}
