package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// beatPeriod is how often the owner writes at least, which shows that it
	// lives.
	beatPeriod = 400 * time.Millisecond
	// recordGap is the least time between two writes, so that changes that come
	// together share one.
	recordGap = 20 * time.Millisecond
	// recordPause follows a write that failed.
	recordPause = 100 * time.Millisecond
	// changesPerWrite keeps a write under the store's limit of entries: two rows
	// a change, up to two more to delete, and the owner's.
	changesPerWrite = 24
	// overPerWrite bounds the ended jobs of which one write deletes what isn't
	// needed any more.
	overPerWrite = 10
	// rowsPerJob is how many rows an ended job has.
	rowsPerJob = 1
	// expirePerWrite bounds the jobs whose rows one write deletes.
	expirePerWrite = 10
	// expireMargin is how much longer than asked for an ended job's state is kept.
	expireMargin = 30 * time.Second
)

// recorder writes what must outlive the host. Each write depends on the owner's
// row and rewrites it, so that one that comes late changes nothing.
type recorder struct {
	term    *term
	row     board.Owner
	version int64    // of the owner's row
	left    []string // ended jobs whose rows a failed write should have deleted
}

// run records until the term ends.
func (r *recorder) run(ctx context.Context) error {
	t := r.term
	tick := t.owner.clock.Every(beatPeriod, func() { notify(t.record) })
	defer tick.Stop()
	last := t.began
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.record:
		}
		now := t.owner.clock.Now()
		changes, ends := r.collect()
		if len(changes) == 0 && now.Sub(last) < beatPeriod {
			r.keep(changes, ends)
			continue
		}
		if err := r.write(changes); err != nil {
			var lost *LostError
			if errors.As(err, &lost) {
				t.end(lost)
				return lost
			}
			_ = t.owner.clock.Sleep(ctx, recordPause)
			notify(t.record)
			continue
		}
		last = now
		t.confirm(now)
		r.keep(changes, ends)
		if len(changes) == changesPerWrite {
			notify(t.record)
		}
		_ = t.owner.clock.Sleep(ctx, recordGap)
	}
}

// collect returns what is to be recorded, and for each executor the last end
// that is recorded with it if that is all.
func (r *recorder) collect() ([]plan.Change, map[*agent]int64) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.plan.Changes(changesPerWrite)
	if len(changes) == changesPerWrite {
		return changes, nil
	}
	ends := make(map[*agent]int64)
	for _, a := range t.agents {
		if a.seen > a.kept {
			ends[a] = a.seen
		}
	}
	return changes, ends
}

// keep notes that changes are recorded.
func (r *recorder) keep(changes []plan.Change, ends map[*agent]int64) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		t.plan.Recorded(c)
	}
	for a, seq := range ends {
		a.kept = max(a.kept, min(seq, a.seen))
		notify(a.noted)
	}
}

// write does one transaction. A *LostError means that another host owns the
// cell.
func (r *recorder) write(changes []plan.Change) error {
	next := r.row
	next.Seq++
	w := platform.Write{Conditions: []platform.Condition{board.Expect(board.Table, board.OwnerKey, r.version)}}
	put, err := board.Put(board.Table, board.OwnerKey, next)
	if err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	for _, c := range changes {
		if err := r.add(&w, c); err != nil {
			return err
		}
	}
	over := r.over(&w)
	expired := r.expire(&w)
	version, err := r.term.owner.store.Write(&w)
	if err != nil {
		r.left = over
		return r.resolve(err)
	}
	r.left = nil
	r.row, r.version = next, version
	r.term.mu.Lock()
	defer r.term.mu.Unlock()
	for _, id := range expired {
		r.term.plan.Expired(id)
	}
	return nil
}

// over adds the deletion of what isn't needed of ended jobs to a write.
func (r *recorder) over(w *platform.Write) []string {
	t := r.term
	ids := r.left
	if len(ids) == 0 {
		t.mu.Lock()
		ids = t.plan.Over(overPerWrite)
		t.mu.Unlock()
	}
	for _, id := range ids {
		w.Deletes = append(w.Deletes,
			platform.Key{Table: board.Jobs, Part: board.Part, Key: id},
			platform.Key{Table: board.Progress, Part: board.Part, Key: id},
			platform.Key{Table: board.Table, Part: board.Part, Key: board.CancelKey(id)})
	}
	return ids
}

// expire adds the deletion of jobs that ended long ago to a write.
func (r *recorder) expire(w *platform.Write) []string {
	o := r.term.owner
	before := o.clock.Now().Add(-o.bounds.Status - expireMargin).Unix()
	ids := o.board.Ended(before, min(expirePerWrite, (platform.MaxEntries-w.Size())/rowsPerJob))
	for _, id := range ids {
		w.Deletes = append(w.Deletes,
			platform.Key{Table: board.Table, Part: board.Part, Key: board.JobKey(id)})
	}
	return ids
}

// add puts a change into a write.
func (r *recorder) add(w *platform.Write, c plan.Change) error {
	e, _ := r.term.owner.board.Job(c.Job)
	row := board.Job{Queue: c.Queue, Team: e.Team, Phase: c.Progress.Phase}
	if row.Phase.Final() {
		row.Ended = r.term.owner.clock.Now().Unix()
	}
	for _, p := range []struct {
		table, key string
		value      any
	}{{board.Table, board.JobKey(c.Job), row}, {board.Progress, c.Job, c.Progress}} {
		put, err := board.Put(p.table, p.key, p.value)
		if err != nil {
			return err
		}
		w.Puts = append(w.Puts, put)
	}
	if c.Progress.Phase == model.Done || c.Progress.Phase == model.Failed || c.Progress.Phase == model.Cancelled {
		r.term.owner.logger.Info("job ended", zap.String("id", c.Job), zap.Int("phase", int(c.Progress.Phase)), zap.Int64("epoch", r.term.epoch))
	}
	return nil
}

// resolve finds out what a failed write means: after a lost answer the row may
// be the one that was sent.
func (r *recorder) resolve(err error) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		r.term.owner.logger.Info("record not written", zap.Int64("epoch", r.term.epoch), zap.Int64("seq", r.row.Seq), zap.Error(err))
		return err
	}
	for _, row := range conflict.Rows {
		var o board.Owner
		if row.Key != board.OwnerKey || board.Decode(row, &o) != nil {
			continue
		}
		if o.Process == r.row.Process && o.Epoch == r.row.Epoch {
			r.row, r.version = o, row.Version
			return err
		}
		return &LostError{Epoch: r.row.Epoch, Host: o.Host}
	}
	return &LostError{Epoch: r.row.Epoch}
}

// resign hands the cell over to whoever takes it first.
func (r *recorder) resign() {
	changes, _ := r.collect()
	r.row.Resigned = true
	if err := r.write(changes); err != nil {
		r.term.owner.logger.Warn("ownership not handed over", zap.Int64("epoch", r.term.epoch), zap.Error(err))
	}
}
