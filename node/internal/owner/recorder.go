package owner

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// heartbeatInterval is the longest time between two writes of the owner. A write
	// shows other hosts that the owner is alive.
	heartbeatInterval = 150 * time.Millisecond
	// minWriteInterval is the least time between two writes, so that changes in quick
	// succession share one write.
	minWriteInterval = 30 * time.Millisecond
	// urgentWriteInterval replaces minWriteInterval while starts wait for their record, or
	// there are more changes than one write can hold. Executors repeat their ends until
	// nothing is left to record.
	urgentWriteInterval = 10 * time.Millisecond
	// A write times out after writeTimeoutFactor times the typical write duration, but not
	// before minWriteTimeout, and is then retried. Both attempts have the same condition, so
	// that at most one of them is applied.
	writeTimeoutFactor = 4
	minWriteTimeout    = 250 * time.Millisecond
	// maxWriteTimeout bounds the wait, so that the end of a store outage is noticed soon.
	maxWriteTimeout = time.Second
	// slowReadTime is longer than a small read takes unless the store is slow.
	slowReadTime = 80 * time.Millisecond
	// latencySmoothing is the number of writes over which the typical duration is
	// averaged.
	latencySmoothing = 8
	// writeBackoff is the pause after a failed write.
	writeBackoff = 50 * time.Millisecond
)

// recorder writes the state that must survive the host. Each write is conditional on the
// version of the owner's row and rewrites that row, so that a delayed write has no effect.
type recorder struct {
	term      *term
	row       board.Owner
	version   int64           // of the owner's row
	attempt   int64           // sequence number of the last attempted write
	typical   time.Duration   // smoothed duration of a write
	timeout   time.Duration   // how long to wait for the next response; raised to minWriteTimeout if less
	undeleted []string        // ended jobs whose progress rows a failed write should have deleted
	expiring  map[string]bool // ended jobs whose phase rows a failed write may have deleted; nil for none
	resigned  bool            // this host has given up ownership
	inDoubt   bool            // a resignation may have been written, and no write has succeeded since
	giveUp    chan struct{}   // closed when a resignation has taken too long; nil before one begins
}

// run writes changes and heartbeats until the term ends.
func (r *recorder) run(ctx context.Context) error {
	t := r.term
	tick := t.owner.clock.Every(heartbeatInterval, func() { signal(t.wakeRecorder) })
	defer tick.Stop()
	last := t.began
	for {
		select {
		case <-ctx.Done():
			return r.finish(ctx)
		case <-t.wakeRecorder:
		}
		if r.handOver(ctx) {
			return r.finish(ctx)
		}
		now, sentBoot := t.owner.clock.Now(), t.owner.clock.Boot()
		b := r.collect()
		if b.empty() && now.Sub(last) < heartbeatInterval {
			r.markRecorded(b)
			continue
		}
		if err := r.write(b); err != nil {
			var lost *OwnershipLostError
			if errors.As(err, &lost) {
				t.cancel(lost)
				return lost
			}
			_ = t.owner.clock.Sleep(ctx, writeBackoff)
			signal(t.wakeRecorder)
			continue
		}
		last = now
		t.confirm(sentBoot, r.row.Authority)
		r.resignationUndone()
		r.markRecorded(b)
		if b.partial {
			signal(t.wakeRecorder)
		}
		_ = t.owner.clock.Sleep(ctx, t.writeInterval(b.partial))
	}
}

// write writes a batch in one transaction. An *OwnershipLostError means that another host owns
// the cell.
func (r *recorder) write(b batch) error {
	next := r.row
	r.attempt++
	next.Seq, next.Authority, next.Successors = r.attempt, authorityFor(r.typical), r.term.successors()
	next.WriteAheadZone = b.writeAheadZone
	next.ExecutorsMayBeMissing = r.term.executorsMayBeMissing()
	next.StoreTime, _, _ = r.term.owner.storeTime()
	w := platform.Write{Conditions: []platform.Condition{ownerRowCondition(r.version)}}
	put, err := board.Put(board.Table, board.Main, board.OwnerKey, next)
	if err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	for _, c := range b.changes {
		if err := r.addChange(&w, c); err != nil {
			return err
		}
	}
	if err := addUsed(&w, b.used); err != nil {
		return err
	}
	if b.closed != nil {
		put, err := board.Put(board.Progress, board.Main, board.ClosedKey, b.closed)
		if err != nil {
			return err
		}
		w.Puts = append(w.Puts, put)
	}
	var finished, expired []string
	if !b.bare {
		finished, expired = r.addCleanup(&w)
	}
	r.term.mu.Lock()
	r.term.limitAuthority(next.Authority)
	for i := range b.changes {
		if c := &b.changes[i]; c.Progress.Phase.Final() {
			r.term.endsSent[c.Job] = true
		}
	}
	r.term.mu.Unlock()
	version, err := r.send(&w, next.Seq)
	if err != nil {
		if len(finished) > 0 {
			r.undeleted = finished
		}
		r.noteExpiring(expired)
		return r.resolveFailure(err)
	}
	if len(finished) > 0 {
		r.undeleted = nil
	}
	r.row, r.version = next, version
	t := r.term
	if len(finished) > 0 {
		t.group.Go(func() error { t.trimSubmissions(finished); return nil })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range slices.Concat(expired, r.takeExpired()) {
		t.plan.RowsDeleted(id)
		delete(t.recordedEnds, id)
	}
	return nil
}

// send sends a write to the store and returns the version of the owner's row. The
// response may be lost; the write is also known to be applied once the board shows its
// sequence number. A *WriteTimeoutError means that the outcome is unknown.
func (r *recorder) send(w *platform.Write, seq int64) (int64, error) {
	t := r.term
	type result struct {
		version int64
		err     error
	}
	done := make(chan result, 1)
	sentAt := t.owner.clock.Now()
	late := make(chan struct{})
	timeout := t.owner.clock.After(max(minWriteTimeout, r.timeout), func() { close(late) })
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
			r.observeLatency(t.owner.clock.Now().Sub(sentAt))
			return res.version, res.err
		case <-r.giveUp:
			return 0, &WriteTimeoutError{Waited: t.owner.clock.Now().Sub(sentAt)}
		case <-late:
			late = nil
			t.group.Go(func() error { slow <- t.storeIsSlow(); return nil })
		case isSlow := <-slow:
			waited := t.owner.clock.Now().Sub(sentAt)
			if !isSlow || waited > maxWriteTimeout {
				r.timeout = min(maxWriteTimeout, 2*max(minWriteTimeout, r.timeout))
				return 0, &WriteTimeoutError{Waited: waited}
			}
			r.timeout = maxWriteTimeout // The store would queue a second write behind the first.
			again := make(chan struct{})
			rest := t.owner.clock.After(maxWriteTimeout-waited, func() { close(again) })
			defer rest.Stop()
			late = again
		case s := <-t.observedWrites:
			if s.seq == seq {
				r.observeLatency(t.owner.clock.Now().Sub(sentAt))
				return s.version, nil
			}
		}
	}
}

// storeIsSlow reports whether a small read is slow, too. If so, the store works, but
// slowly; otherwise a write without a response is considered lost.
func (t *term) storeIsSlow() bool {
	began := t.owner.clock.Now()
	_, _, err := t.owner.store.Read(board.Table, board.Main, board.OwnerKey, board.OwnerKey+"\x00")
	return err == nil && t.owner.clock.Now().Sub(began) > slowReadTime
}

// observeLatency updates the typical write duration and the timeout. A slower write counts
// in full at once, a faster one by smoothing.
func (r *recorder) observeLatency(took time.Duration) {
	r.term.owner.metrics.writeLatency.Note(took)
	r.typical = max(took, r.typical+(took-r.typical)/latencySmoothing)
	r.timeout = min(maxWriteTimeout, writeTimeoutFactor*r.typical)
}

// addChange adds the rows of a change to a write.
func (r *recorder) addChange(w *platform.Write, c plan.Change) error {
	put, err := board.Put(board.Progress, board.Main, c.Job, c.Progress)
	if err != nil {
		return err
	}
	w.Puts = append(w.Puts, put)
	if !c.PhaseChanged {
		return nil // All hosts follow the phase rows, so they are written only when they change.
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
			zap.Duration("advice", c.Delay.Advice), zap.Bool("excess", c.OverQuota), zap.Int64("epoch", r.term.epoch))
	}
	return nil
}

// resolveFailure returns the error of a failed write as an *OwnershipLostError if another host owns
// the cell. If the row in the store is an earlier write of this term whose response was
// lost, it adopts that row for the next attempt.
func (r *recorder) resolveFailure(err error) error {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		r.term.owner.logger.Info("write to the store failed", zap.Int64("epoch", r.term.epoch), zap.Int64("seq", r.row.Seq), zap.Error(err))
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
		return &OwnershipLostError{Epoch: r.row.Epoch, Host: o.Host}
	}
	return &OwnershipLostError{Epoch: r.row.Epoch}
}
