package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// beatPeriod is how often the owner writes at least, which shows that it
	// lives.
	beatPeriod = 150 * time.Millisecond
	// recordGap is the least time between two writes, so that changes that come
	// together share one.
	recordGap = 30 * time.Millisecond
	// heldGap takes its place while starts wait for the record.
	heldGap = 10 * time.Millisecond
	// patienceTimes its usual time an answer is waited for until the write is tried
	// anew; leastPatience at least. Both writes have the same condition, so that
	// only one of them is done.
	patienceTimes = 4
	leastPatience = 250 * time.Millisecond
	// mostPatience bounds it, so that a store that comes back is noticed soon.
	mostPatience = time.Second
	// slowRead is longer than a small read takes unless the store is slow.
	slowRead = 80 * time.Millisecond
	// smoothing is over how many writes the usual time is averaged.
	smoothing = 8
	// resignTries is how often an owner that stops tries to hand over: an answer may
	// be lost, and the next try then learns what became of it.
	resignTries = 3
	// recordPause follows a write that failed.
	recordPause = 50 * time.Millisecond
)

// recorder writes what must outlive the host. Each write depends on the owner's
// row and rewrites it, so that one that comes late changes nothing.
type recorder struct {
	term     *term
	row      board.Owner
	version  int64         // of the owner's row
	attempt  int64         // number of the last write that was tried; each has its own
	typical  time.Duration // that a write takes
	patience time.Duration // how long the next answer is waited for
	left     []string      // ended jobs whose rows a failed write should have deleted
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
			return r.finish(ctx)
		case <-t.record:
		}
		now, asked := t.owner.clock.Now(), t.owner.clock.Boot()
		b := r.collect()
		if b.empty() && now.Sub(last) < beatPeriod {
			r.keep(b)
			continue
		}
		if err := r.write(b); err != nil {
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
		t.confirm(asked, r.row.Authority)
		r.keep(b)
		if b.full() {
			notify(t.record)
		}
		_ = t.owner.clock.Sleep(ctx, t.recordGap())
	}
}

// write does one transaction. A *LostError means that another host owns the
// cell.
func (r *recorder) write(b batch) error {
	next := r.row
	r.attempt++
	next.Seq, next.Authority, next.Successors = r.attempt, authorityFor(r.typical), r.term.successors()
	next.Zone = b.zone
	next.ExecutorsMayBeMissing, next.Written = r.term.entriesLapse(), r.term.owner.clock.Boot()
	w := platform.Write{Conditions: []platform.Condition{ownerRow(r.version)}}
	put, err := board.Put(board.Table, board.Main, board.OwnerKey, next)
	if err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	for _, c := range b.changes {
		if err := r.add(&w, c); err != nil {
			return err
		}
	}
	if b.closed != nil {
		put, err := board.Put(board.Progress, board.Main, board.ClosedKey, b.closed)
		if err != nil {
			return err
		}
		w.Puts = append(w.Puts, put)
	}
	over, expired := r.clean(&w)
	r.term.mu.Lock()
	r.term.limit(next.Authority)
	for i := range b.changes {
		if c := &b.changes[i]; c.Progress.Phase.Final() {
			r.term.sent[c.Job] = true
		}
	}
	r.term.mu.Unlock()
	version, err := r.send(&w, next.Seq)
	if err != nil {
		if len(over) > 0 {
			r.left = over
		}
		return r.resolve(err)
	}
	if len(over) > 0 {
		r.left = nil
	}
	r.row, r.version = next, version
	t := r.term
	if len(over) > 0 {
		t.group.Go(func() error { t.trim(over); return nil })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range expired {
		t.plan.Expired(id)
		delete(t.ends, id)
	}
	return nil
}

// send does a write. The answer may be lost: the write is also known to be done
// when the board shows its row.
func (r *recorder) send(w *platform.Write, seq int64) (int64, error) {
	t := r.term
	type result struct {
		version int64
		err     error
	}
	done := make(chan result, 1)
	asked := t.owner.clock.Now()
	late := make(chan struct{})
	timeout := t.owner.clock.After(max(leastPatience, r.patience), func() { close(late) })
	defer timeout.Stop()
	t.group.Go(func() error {
		version, err := t.owner.store.Write(w)
		done <- result{version, err}
		return nil
	})
	slow := make(chan bool, 1)
	for {
		select {
		case res := <-done:
			r.answered(t.owner.clock.Now().Sub(asked))
			return res.version, res.err
		case <-late:
			late = nil
			t.group.Go(func() error { slow <- t.storeIsSlow(); return nil })
		case is := <-slow:
			waited := t.owner.clock.Now().Sub(asked)
			if !is || waited > mostPatience {
				r.patience = min(mostPatience, 2*max(leastPatience, r.patience))
				return 0, &PatienceError{Waited: waited}
			}
			r.patience = mostPatience // A second write would queue behind the first.
			again := make(chan struct{})
			rest := t.owner.clock.After(mostPatience-waited, func() { close(again) })
			defer rest.Stop()
			late = again
		case s := <-t.seen:
			if s.seq == seq {
				r.answered(t.owner.clock.Now().Sub(asked))
				return s.version, nil
			}
		}
	}
}

// storeIsSlow reports whether a small read takes long, too: the store does what it
// is asked, but slowly. Otherwise a write without an answer is lost.
func (t *term) storeIsSlow() bool {
	began := t.owner.clock.Now()
	_, _, err := t.owner.store.Read(board.Table, board.Main, board.OwnerKey, board.OwnerKey+"\x00")
	return err == nil && t.owner.clock.Now().Sub(began) > slowRead
}

// answered learns how long answers take: a slower one counts at once, faster ones
// little by little.
func (r *recorder) answered(took time.Duration) {
	r.term.owner.counts.records.Note(took)
	r.typical = max(took, r.typical+(took-r.typical)/smoothing)
	r.patience = min(mostPatience, patienceTimes*r.typical)
}

// add puts a change into a write.
func (r *recorder) add(w *platform.Write, c plan.Change) error {
	put, err := board.Put(board.Progress, board.Main, c.Job, c.Progress)
	if err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	if !c.Moved {
		return nil // All hosts follow the phases: they are written only when they change.
	}
	row := board.Phase{Phase: c.Progress.Phase}
	if row.Phase.Final() {
		row.Ended = r.term.owner.clock.Now().Unix()
	}
	if put, err = board.Put(board.Table, board.Main, board.PhaseKey(c.Job), row); err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	if c.Progress.Phase.Final() {
		r.term.owner.logger.Info("job ended", zap.String("id", c.Job), zap.String("queue", c.Queue), zap.Stringer("phase", c.Progress.Phase),
			zap.Duration("after", r.term.owner.clock.Now().Sub(c.Sent)), zap.Duration("objective", c.Objective), zap.Duration("limit", c.Delay.Limit), zap.Duration("room", c.Delay.Room),
			zap.Duration("advice", c.Delay.Advice), zap.Bool("excess", c.Excess), zap.Int64("epoch", r.term.epoch))
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
			r.row.Resigned = false
			return err
		}
		return &LostError{Epoch: r.row.Epoch, Host: o.Host}
	}
	return &LostError{Epoch: r.row.Epoch}
}

// finish hands the cell over when the process stops. A term that another host
// ended has nothing to hand over.
func (r *recorder) finish(ctx context.Context) error {
	cause := context.Cause(ctx)
	var lost *LostError
	var yield *YieldError
	if !errors.As(cause, &lost) && !errors.As(cause, &yield) {
		r.resign()
	}
	return cause
}

// resign hands the cell over to its first successor, or to whoever takes it. No
// run starts from then on.
func (r *recorder) resign() {
	t := r.term
	t.mu.Lock()
	t.leaving = true
	t.mu.Unlock()
	var err error
	for range resignTries {
		r.row.Resigned = true
		if err = r.write(r.collect()); err == nil {
			t.owner.offer(r.row, r.version)
			return
		}
	}
	t.owner.logger.Warn("ownership not handed over", zap.Int64("epoch", t.epoch), zap.Error(err))
}
