package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// phaseSize is an upper bound of the size of a phase row, in bytes.
const phaseSize = 32

// maxChangeRows keeps a write within the store's limit of entries: the row of closed
// executors, the owner's row and its condition take three.
const maxChangeRows = platform.MaxEntries - 3

// batch is the content of one write.
type batch struct {
	changes        []plan.Change
	bare           bool                 // only the owner's row is written, since the state is being handed over
	partial        bool                 // there are more changes than one write can hold
	oversize       []string             // jobs whose records are larger than a row may be, left out
	ends           map[*session]lastEnd // that this write covers, by executor
	used           []usedPut            // rows of used executors
	closed         *board.Closed        // nil if the recorded row is up to date
	writeAheadZone string               // zone in which every run is recorded as of this write, may be empty
}

// lastEnd is the last end of an executor that was given to the plan.
type lastEnd struct {
	born time.Time // the executor's life, in which ends are numbered
	seq  int64
}

func (b *batch) empty() bool { return len(b.changes) == 0 && len(b.used) == 0 && b.closed == nil }

// addChanges adds the changes that fit in one write, and whose records fit in a row of rowSize
// bytes.
func (b *batch) addChanges(changes []plan.Change, rowSize int) {
	rows, size := len(b.used), 2*platform.PutSize(rowSize) // Of the owner's row and that of closed executors.
	size += len(b.used) * platform.PutSize(min(usedRowSize, rowSize))
	b.changes = changes[:0]
	for i := range changes {
		c := &changes[i]
		if c.Size > rowSize && recordSize(c) > rowSize { // The first is an upper bound.
			b.oversize = append(b.oversize, c.Job)
			continue
		}
		rows += c.Rows()
		size += platform.PutSize(min(c.Size, rowSize)) + (c.Rows()-1)*platform.PutSize(phaseSize)
		if rows > maxChangeRows || size > platform.MaxPutSize {
			b.partial = true
			return
		}
		b.changes = append(b.changes, *c)
	}
}

// recordSize returns the size of the record of a change, in bytes.
func recordSize(c *plan.Change) int {
	put, err := board.Put(board.Progress, board.Main, c.Job, c.Progress)
	if err != nil {
		return 0 // The write fails with this error.
	}
	return len(put.Value)
}

// noteOversize counts the records that were left out for their size, and logs them when others
// are. The term's mu is held.
func (t *term) noteOversize(jobs []string) {
	slices.Sort(jobs)
	if slices.Equal(jobs, t.oversize) {
		return
	}
	t.oversize = jobs
	t.owner.metrics.oversize.Update(int64(len(jobs)))
	for _, id := range jobs {
		t.owner.logger.Error("record is too large", zap.String("id", id), zap.Int("most", t.rowSize()), zap.Int64("epoch", t.epoch))
	}
}

// collect returns the next batch. It includes ends and closed executors only if it
// includes all changes, since the record of an end or a closed executor implies that
// everything that ran there is recorded.
func (r *recorder) collect() batch {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.frozen {
		return batch{bare: true, writeAheadZone: r.row.WriteAheadZone}
	}
	b := batch{used: t.updateUsed(maxUsedRows)}
	b.addChanges(t.plan.Changes(maxChangeRows+1), t.rowSize())
	t.noteOversize(b.oversize)
	if b.partial || len(b.oversize) > 0 {
		return b
	}
	if t.plan.ZoneRunsKnown(t.writeAheadZone) {
		b.writeAheadZone = t.writeAheadZone
	}
	b.ends = make(map[*session]lastEnd)
	for _, sess := range t.sessions {
		if sess.takenSeq > sess.recordedSeq {
			b.ends[sess] = lastEnd{born: sess.born, seq: sess.takenSeq}
		}
	}
	if ids, unverified, differ := t.plan.Closed(); differ {
		t.plan.RecordingClosed(ids)
		b.closed = &board.Closed{Executors: ids, Unverified: unverified, LeaseEnds: t.leaseEnds(ids, t.owner.clock.Now())}
		t.logClosed(b.closed)
		t.recordingLeaseEnds(b.closed.LeaseEnds)
	}
	return b
}

// markRecorded updates the plan and the sessions after a batch was written.
func (r *recorder) markRecorded(b batch) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.clock.Now()
	for i := range b.changes {
		c := &b.changes[i]
		t.plan.Recorded(*c)
		t.releaseStarts(c, now)
		if !c.Progress.Phase.Final() {
			continue
		}
		if _, known := t.recordedEnds[c.Job]; !known {
			t.owner.metrics.jobEnded(c, now)
		}
		t.recordedEnds[c.Job] = c.Progress.Phase
		delete(t.endsSent, c.Job)
	}
	t.usedWritten(b.used)
	for sess, end := range b.ends {
		if end.born.Equal(sess.born) {
			sess.recordedSeq = max(sess.recordedSeq, min(end.seq, sess.takenSeq))
		}
		signal(sess.recorded)
	}
	if len(b.used) > 0 {
		signal(t.wakeDecider)
	}
	if b.closed != nil {
		t.plan.ClosedRecorded(b.closed.Executors, b.closed.Unverified)
		t.leaseEndsRecorded(b.closed.LeaseEnds)
		signal(t.wakeDecider)
	}
}
