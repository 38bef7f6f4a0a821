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
	// trimGap is the least time between two times that submissions of ended jobs are
	// deleted: a partition has those of many jobs by then, in one write.
	trimGap = 5 * time.Second
	// tidyEntries is how many entries of a write one job takes at most.
	tidyEntries = 3
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
		over = t.plan.TakeForgotten(min(room, overPerWrite))
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
			platform.Key{Table: board.Table, Part: part, Key: board.CancelKey(id)},
			platform.Key{Table: board.Submitted, Part: part, Key: id}) // It is there if trim's write failed.
	})
}

// trim notes that nothing runs any more of jobs, and deletes from time to time what was
// submitted of such. What a term leaves the next one finds.
func (t *term) trim(ids []string) {
	now := t.owner.clock.Now()
	t.mu.Lock()
	t.over = append(t.over, ids...)
	due := now.Sub(t.trimmed) >= trimGap
	if due {
		ids, t.over, t.trimmed = t.over, nil, now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	t.tidy(ids, t.addTrim)
}

// addTrim adds to a write what deletes the submission of a job.
func (t *term) addTrim(w *platform.Write, part, id string) {
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
}

// tidy writes to all partitions that have rows of jobs, many jobs in a write.
func (t *term) tidy(ids []string, add func(w *platform.Write, part, id string)) {
	writes := make(map[string]*platform.Write)
	send := func(part string) {
		if _, err := t.owner.store.Write(writes[part]); err != nil {
			t.owner.logger.Info("rows of ended jobs not deleted", zap.String("part", part), zap.Int("rows", writes[part].Size()), zap.Error(err))
		}
		delete(writes, part)
	}
	for _, id := range ids {
		for _, part := range t.owner.board.PartsOf(id) {
			if writes[part] == nil {
				writes[part] = &platform.Write{}
			}
			add(writes[part], part, id)
			if writes[part].Size() > platform.MaxEntries-tidyEntries {
				send(part)
			}
		}
	}
	for part, w := range writes {
		if w.Size() > 0 {
			send(part)
		}
	}
}
