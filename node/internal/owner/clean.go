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
	over = r.left
	if len(over) == 0 {
		t.mu.Lock()
		over = t.plan.Over(overPerWrite)
		t.mu.Unlock()
	}
	for _, id := range over {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Progress, Part: board.Main, Key: id})
	}
	before := t.owner.clock.Now().Add(-t.owner.bounds.Status - expireMargin).Unix()
	accepted, rest := t.owner.board.Ended(before, expirePerWrite)
	for _, id := range rest {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Table, Part: board.Main, Key: board.PhaseKey(id)})
	}
	if len(accepted) > 0 { // Their phases go once these rows are seen to be gone.
		t.group.Go(func() error { t.drop(accepted, true); return nil })
	}
	return over, rest
}

// drop deletes what clients submitted of jobs that have ended, and if all is set
// also that they were accepted and cancelled. It needs no proof of ownership.
func (t *term) drop(ids []string, all bool) {
	writes := make(map[string]*platform.Write)
	for _, id := range ids {
		for _, part := range t.owner.board.PartsOf(id) {
			if writes[part] == nil {
				writes[part] = &platform.Write{}
			}
			w := writes[part]
			w.Deletes = append(w.Deletes, platform.Key{Table: board.Jobs, Part: part, Key: id})
			if all {
				w.Deletes = append(w.Deletes,
					platform.Key{Table: board.Table, Part: part, Key: board.AcceptKey(id)},
					platform.Key{Table: board.Table, Part: part, Key: board.CancelKey(id)})
			}
		}
	}
	for part, w := range writes {
		if _, err := t.owner.store.Write(w); err != nil {
			t.owner.logger.Info("rows of ended jobs not deleted", zap.String("part", part), zap.Int("rows", len(w.Deletes)), zap.Error(err))
		}
	}
}
