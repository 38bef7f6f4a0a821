package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	// overPerWrite bounds the ended jobs of which one write deletes what isn't
	// needed any more.
	overPerWrite = 20
	// expirePerWrite bounds the jobs of which one write deletes the phase.
	expirePerWrite = 20
	// expireMargin is how much longer than asked for an ended job's state is kept.
	expireMargin = 30 * time.Second
)

// clean adds the deletion of rows that nobody needs to a write of the owner: the
// progress of jobs that have ended and run nowhere, which it returns, and the
// phases of jobs that ended long ago.
func (r *recorder) clean(w *platform.Write) (over, expired []string) {
	t := r.term
	room := platform.MaxEntries - w.Size()
	over = r.left
	if len(over) == 0 {
		t.mu.Lock()
		over = t.plan.Over(min(room, overPerWrite))
		t.mu.Unlock()
	}
	if len(over) > room {
		over = nil // The next write has room for them.
	}
	room -= len(over)
	for _, id := range over {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Progress, Part: board.Main, Key: id})
	}
	before := t.owner.clock.Now().Add(-t.bounds.Status - expireMargin).Unix()
	accepted, rest := t.owner.board.Ended(before, min(room, expirePerWrite))
	for _, id := range rest {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Table, Part: board.Main, Key: board.PhaseKey(id)})
	}
	if len(accepted) > 0 { // Their phases go once these rows are seen to be gone.
		t.group.Go(func() error { t.drop(accepted); return nil })
	}
	return over, rest
}

// drop deletes that jobs were accepted and cancelled, which have ended long ago.
// It needs no proof of ownership.
func (t *term) drop(ids []string) {
	t.tidy(ids, func(w *platform.Write, part, id string) {
		w.Deletes = append(w.Deletes,
			platform.Key{Table: board.Table, Part: part, Key: board.AcceptKey(id)},
			platform.Key{Table: board.Table, Part: part, Key: board.CancelKey(id)})
	})
}

// trim deletes what was submitted of jobs of which nothing runs any more.
func (t *term) trim(ids []string) {
	t.tidy(ids, func(w *platform.Write, part, id string) {
		e, ok := t.owner.board.Job(id)
		if !ok || e.Job == nil {
			w.Deletes = append(w.Deletes, platform.Key{Table: board.Submitted, Part: part, Key: id})
			return
		}
		put, err := board.Put(board.Table, part, board.AcceptKey(id), board.Accepted{Queue: e.Queue, Team: e.Team, Sent: e.Job.Sent})
		if err != nil {
			t.owner.logger.Error("submission left on the board", zap.String("id", id), zap.Error(err))
			return
		}
		w.Puts = append(w.Puts, put)
	})
}

// tidy writes to all partitions that have rows of jobs.
func (t *term) tidy(ids []string, add func(w *platform.Write, part, id string)) {
	writes := make(map[string]*platform.Write)
	for _, id := range ids {
		for _, part := range t.owner.board.PartsOf(id) {
			if writes[part] == nil {
				writes[part] = &platform.Write{}
			}
			add(writes[part], part, id)
		}
	}
	for part, w := range writes {
		if w.Size() == 0 {
			continue
		}
		if _, err := t.owner.store.Write(w); err != nil {
			t.owner.logger.Info("rows of ended jobs not deleted", zap.String("part", part), zap.Int("rows", w.Size()), zap.Error(err))
		}
	}
}
