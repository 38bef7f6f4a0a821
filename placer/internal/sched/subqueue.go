package sched

// subqueue holds the entries of one team, queue and urgency in submission
// order. An entry is removed lazily: it is skipped at first and deleted later
// by compact, so that a removal takes amortized constant time at any position.
type subqueue struct {
	queue   string
	urgent  bool
	rank    int
	entries []*entry
	head    int // all entries before this index have been removed
	waiting int // entries that haven't been removed
}

// minCompact is the length below which a subqueue isn't compacted, unless it is
// empty.
const minCompact = 32

func (q *subqueue) push(e *entry) {
	q.compact()
	e.subqueue = q
	q.waiting++
	i := len(q.entries)
	for i > 0 && q.entries[i-1].seq > e.seq {
		i--
	}
	if i > 0 && q.entries[i-1] == e { // was removed, but not yet deleted
		q.head = min(q.head, i-1)
		return
	}
	q.entries = append(q.entries, nil)
	copy(q.entries[i+1:], q.entries[i:])
	q.entries[i] = e
	q.head = min(q.head, i)
}

// fromHead returns the entries from the first waiting one on. Removed entries
// may be among them.
func (q *subqueue) fromHead() []*entry {
	for q.head < len(q.entries) && q.entries[q.head].subqueue != q {
		q.head++
	}
	return q.entries[q.head:]
}

func (q *subqueue) remove(e *entry) {
	e.subqueue = nil
	q.waiting--
	q.compact()
}

// compact deletes removed entries once they make up at least half of all.
func (q *subqueue) compact() {
	if len(q.entries) < minCompact && q.waiting > 0 {
		return
	}
	if q.waiting*2 > len(q.entries) {
		return
	}
	kept := q.entries[:0]
	for _, e := range q.entries {
		if e.subqueue == q {
			kept = append(kept, e)
		}
	}
	clear(q.entries[len(kept):])
	q.entries, q.head = kept, 0
}
