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

// maxDrafts is how many jobs are written in one transaction at most.
const maxDrafts = 32

// draft is a job on its way to the platform. The first part of the
// transaction is the job's own row.
type draft struct {
	job   *job
	edits uint64
	ops   []store.Op
}

// version returns the version of the job's row once the draft is written.
func (c *draft) version() uint64 { return c.ops[0].Expect + 1 }

// writeLoop writes changed rows, many in one transaction while some wait.
func (d *Driver) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.dirty:
		}
		for d.writeSome(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// writeSome writes one batch and reports whether there is more to write.
func (d *Driver) writeSome(ctx context.Context) bool {
	drafts := d.drafts()
	if len(drafts) == 0 {
		return false
	}
	var ops []store.Op
	for i := range drafts {
		ops = append(ops, drafts[i].ops...)
	}
	err := d.commit(ctx, ops)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		for i := range drafts {
			d.wrote(&drafts[i], drafts[i].version())
		}
	case !errors.As(err, &conflict):
		d.again(drafts)
		_ = d.timer.Sleep(ctx, pause)
	default:
		for i := range drafts {
			d.writeOne(ctx, &drafts[i])
		}
	}
	return true
}

func (d *Driver) commit(ctx context.Context, ops []store.Op) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	d.counts.writes.Inc(1)
	return d.table.Commit(ctx, ops)
}

// drafts takes changed jobs and encodes their rows.
func (d *Driver) drafts() []draft {
	d.mu.Lock()
	jobs := make([]*job, 0, maxDrafts)
	for j := range d.unsaved {
		if len(jobs) == maxDrafts {
			break
		}
		delete(d.unsaved, j)
		jobs = append(jobs, j)
	}
	d.mu.Unlock()
	drafts := make([]draft, 0, len(jobs))
	for _, j := range jobs {
		if c, ok := j.draft(d.timer.Now()); ok {
			drafts = append(drafts, c)
		}
	}
	return drafts
}

func (j *job) draft(now time.Time) (draft, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.replaced || j.written == j.edits {
		return draft{}, false
	}
	ops, err := ledger.Update(j.key, &j.row, j.version, now)
	if err != nil {
		return draft{}, false
	}
	return draft{job: j, edits: j.edits, ops: ops}, true
}

func (d *Driver) again(drafts []draft) {
	for i := range drafts {
		d.save(drafts[i].job)
	}
}

// writeOne writes one row alone and settles a conflict.
func (d *Driver) writeOne(ctx context.Context, c *draft) {
	err := d.commit(ctx, c.ops)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		d.wrote(c, c.version())
	case errors.As(err, &conflict):
		d.settle(c, &conflict.Row)
	default:
		d.save(c.job)
	}
}

// settle handles a row with another version than expected. Either an earlier
// write took effect although its answer was lost, or the caller's wish to
// cancel was written by someone else, or the job has another driver.
func (d *Driver) settle(c *draft, row *store.Row) {
	if bytes.Equal(row.Value, c.ops[0].Value) {
		d.wrote(c, row.Version)
		return
	}
	var other wire.Job
	err := cbor.Unmarshal(row.Value, &other)
	j := c.job
	j.mu.Lock()
	mine := err == nil && other.Epoch == j.row.Epoch // each driver has its own
	if mine {
		j.version = row.Version
	}
	cancel := mine && other.Cancel && !j.row.Cancel
	j.mu.Unlock()
	if !mine {
		d.counts.conflicts.Inc(1)
		d.replace(j)
		return
	}
	if cancel {
		d.cancel(j)
	}
	d.save(j)
}

// wrote notes that a row was written, and lets endpoints forget what it
// records.
func (d *Driver) wrote(c *draft, version uint64) {
	j := c.job
	j.mu.Lock()
	j.version, j.written = version, c.edits
	var acks []ack
	more := j.written < j.edits
	if !more {
		acks, j.acks = j.acks, nil
	}
	over := !more && j.row.Outcome != "" && j.liveLocked() == 0
	j.wakeLocked()
	j.mu.Unlock()
	for _, a := range acks {
		d.owner.Ack(a.endpoint, a.seq)
	}
	if more {
		d.save(j)
	}
	if over {
		d.forget(j)
	}
}

// replace stops driving a job that has another driver. Its tasks run on.
func (d *Driver) replace(j *job) {
	j.mu.Lock()
	j.replaced = true
	j.wakeLocked()
	j.mu.Unlock()
	d.queue.Cancel(j.id())
	d.forget(j)
}

// flush waits until the changes made so far are written. The error is a
// *ReplacedError, an *UnwrittenError or the context's.
func (d *Driver) flush(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeoutCause(ctx, callTimeout+pause, &UnwrittenError{ID: j.id()})
	defer cancel()
	j.mu.Lock()
	want := j.edits
	j.mu.Unlock()
	d.save(j)
	for {
		j.mu.Lock()
		done, replaced, changed := j.written >= want, j.replaced, j.changed
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
