package owner

import (
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// changesPerWrite keeps a write under the store's limit of entries: up to two
// rows a change, the closed executors, and the owner's row with its condition.
const changesPerWrite = (platform.MaxEntries - 3) / 2

// batch is what one write records.
type batch struct {
	changes []plan.Change
	ends    map[*agent]int64 // the last end of each executor that is recorded with it
	closed  *board.Closed    // nil if it is recorded as it is
	zone    string           // on whose executors nothing runs then that isn't recorded; empty for none
}

func (b *batch) empty() bool { return len(b.changes) == 0 && b.closed == nil }

// full reports whether there may be more to record.
func (b *batch) full() bool { return len(b.changes) == changesPerWrite }

// collect returns what is to be recorded. Ends and closed executors are part of it
// only if all changes are: what an executor ended, and what runs on one that is
// closed, has to be recorded by then.
func (r *recorder) collect() batch {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	b := batch{changes: t.plan.Changes(changesPerWrite)}
	if b.full() {
		return b
	}
	if t.plan.Known(t.zone) {
		b.zone = t.zone
	}
	b.ends = make(map[*agent]int64)
	for _, a := range t.agents {
		if a.seen > a.kept {
			b.ends[a] = a.seen
		}
	}
	if ids, unsure, differ := t.plan.Closed(); differ {
		t.plan.Closing(ids)
		b.closed = &board.Closed{Executors: ids, Unreported: unsure, LeaseEnds: t.lapses(ids, t.owner.clock.Now())}
	}
	return b
}

// keep notes that a batch is recorded.
func (r *recorder) keep(b batch) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.clock.Now()
	for i := range b.changes {
		c := &b.changes[i]
		t.plan.Recorded(*c)
		t.release(c, now)
		if !c.Progress.Phase.Final() {
			continue
		}
		if _, known := t.ends[c.Job]; !known {
			t.owner.counts.ended(c, now)
		}
		t.ends[c.Job] = c.Progress.Phase
		delete(t.sent, c.Job)
	}
	for a, seq := range b.ends {
		a.kept = max(a.kept, min(seq, a.seen))
		notify(a.noted)
	}
	if b.closed != nil {
		t.plan.ClosedRecorded(b.closed.Executors, b.closed.Unreported)
		notify(t.wake)
	}
}
