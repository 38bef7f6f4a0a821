package jobs

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// maxWriteBatch bounds the jobs that are written in one transaction.
const maxWriteBatch = 32

// pendingWrite is the write of one revision of a job. The first operation writes the
// job's own row.
type pendingWrite struct {
	job      *job
	revision uint64
	ops      []store.Op
}

// version returns the version that the job's row has after the write.
func (w *pendingWrite) version() uint64 { return w.ops[0].Expect + 1 }

// writeLoop writes changed jobs, several in one transaction if there are more.
func (d *Driver) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wakeWriter:
		}
		for d.writeBatch(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// writeBatch writes one batch and reports false if there was nothing to write. If one
// of the rows conflicts it writes each job separately.
func (d *Driver) writeBatch(ctx context.Context) bool {
	writes := d.pendingWrites()
	if len(writes) == 0 {
		return false
	}
	var ops []store.Op
	for i := range writes {
		ops = append(ops, writes[i].ops...)
	}
	err := d.commit(ctx, ops)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for i := range writes {
			d.writeDone(&writes[i], writes[i].version())
		}
	case !errors.As(err, &conflict):
		d.requeueWrites(writes)
		_ = d.timer.Sleep(ctx, retryDelay)
	default:
		for i := range writes {
			d.writeOne(ctx, &writes[i])
		}
	}
	return true
}

// commit runs one transaction within callTimeout.
func (d *Driver) commit(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.counts.writes.Inc(1)
	return d.table.Commit(ctx, ops)
}

// pendingWrites removes up to maxWriteBatch jobs from the unsaved ones and encodes
// their rows.
func (d *Driver) pendingWrites() []pendingWrite {
	d.mu.Lock()
	jobs := make([]*job, 0, maxWriteBatch)
	for j := range d.unsaved {
		if len(jobs) == maxWriteBatch {
			break
		}
		delete(d.unsaved, j)
		jobs = append(jobs, j)
	}
	d.mu.Unlock()
	writes := make([]pendingWrite, 0, len(jobs))
	for _, j := range jobs {
		if w, ok := j.pendingWrite(d.timer.Now()); ok {
			writes = append(writes, w)
		}
	}
	return writes
}

// pendingWrite encodes the job's row. It reports false if there is nothing to write.
func (j *job) pendingWrite(now time.Time) (pendingWrite, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.replaced || j.writtenRevision == j.revision {
		return pendingWrite{}, false
	}
	ops, err := ledger.Update(j.key, &j.row, j.version, now)
	if err != nil {
		return pendingWrite{}, false
	}
	return pendingWrite{job: j, revision: j.revision, ops: ops}, true
}

// requeueWrites schedules writes again that failed.
func (d *Driver) requeueWrites(writes []pendingWrite) {
	for i := range writes {
		d.queueWrite(writes[i].job)
	}
}

// writeOne writes one job in its own transaction and resolves a conflict.
func (d *Driver) writeOne(ctx context.Context, w *pendingWrite) {
	err := d.commit(ctx, w.ops)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		d.writeDone(w, w.version())
	case errors.As(err, &conflict):
		d.resolveConflict(w, &conflict.Row)
	default:
		d.queueWrite(w.job)
	}
}

// resolveConflict handles a row that has another version than expected. Either an
// earlier write of this driver took effect although its answer was lost, or another
// process wrote a cancellation, or the job has another driver.
func (d *Driver) resolveConflict(w *pendingWrite, row *store.Row) {
	if bytes.Equal(row.Value, w.ops[0].Value) {
		d.writeDone(w, row.Version)
		return
	}
	var other wire.Job
	err := cbor.Unmarshal(row.Value, &other)
	j := w.job
	j.mu.Lock()
	sameEpoch := err == nil && other.Epoch == j.row.Epoch // each driver has its own epoch
	if sameEpoch {
		j.version = row.Version
	}
	cancel := sameEpoch && other.Cancel && !j.row.Cancel
	j.mu.Unlock()
	if !sameEpoch {
		d.counts.conflicts.Inc(1)
		d.stopDriving(j)
		return
	}
	if cancel {
		d.cancel(j)
	}
	d.queueWrite(j)
}

// writeDone records that a row was written. Once all changes are written it
// acknowledges the recorded ends to their endpoints.
func (d *Driver) writeDone(w *pendingWrite, version uint64) {
	j := w.job
	j.mu.Lock()
	j.version, j.writtenRevision = version, w.revision
	var acks []ack
	more := j.writtenRevision < j.revision
	if !more {
		acks, j.acks = j.acks, nil
	}
	over := !more && j.row.Outcome != "" && j.liveLocked() == 0
	j.notifyLocked()
	j.mu.Unlock()
	for _, a := range acks {
		d.owner.Ack(a.endpoint, a.seq)
	}
	if more {
		d.queueWrite(j)
	}
	if over {
		d.removeJob(j)
	}
}

// stopDriving stops driving a job that has another driver or was released. Its tasks
// keep running.
func (d *Driver) stopDriving(j *job) {
	j.mu.Lock()
	j.replaced = true
	j.notifyLocked()
	j.mu.Unlock()
	d.queue.Cancel(j.id())
	d.removeJob(j)
}

// flush writes the changes made so far and waits for it. The error is a
// *ReplacedError, an *UnwrittenError or the context's.
func (d *Driver) flush(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeoutCause(ctx, callTimeout+retryDelay, &UnwrittenError{ID: j.id()})
	defer cancel()
	j.mu.Lock()
	want := j.revision
	j.mu.Unlock()
	d.queueWrite(j)
	for {
		j.mu.Lock()
		done, replaced, changed := j.writtenRevision >= want, j.replaced, j.changed
		j.mu.Unlock()
		switch {
		case replaced:
			return &ReplacedError{ID: j.id()}
		case done:
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
