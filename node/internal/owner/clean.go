package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	// maxProgressDeletes bounds the progress rows that one write deletes.
	maxProgressDeletes = 20
	// maxPhaseDeletes bounds the phase rows that one write deletes.
	maxPhaseDeletes = 20
	// trimInterval is the least time between two deletions of ended jobs' submissions,
	// so that one write to a partition deletes many of them.
	trimInterval = 5 * time.Second
	// maxEntriesPerJob is the most entries that one job adds to a write of
	// writePartitions.
	maxEntriesPerJob = 3
	// statusMargin is how much longer than configured the state of an ended job is kept.
	statusMargin = 30 * time.Second
)

// addCleanup adds deletions to a write of the owner: the progress rows of jobs that have
// ended and have no runs, and the phase rows of jobs that ended long ago. It returns
// both lists of jobs.
func (r *recorder) addCleanup(w *platform.Write) (finished, expired []string) {
	t := r.term
	spare := platform.MaxEntries - w.Size()
	finished = r.undeleted
	if len(finished) == 0 {
		t.mu.Lock()
		finished = t.plan.TakeForgotten(min(spare, maxProgressDeletes))
		t.mu.Unlock()
	}
	if len(finished) > spare {
		finished = nil // A later write has room for them.
	}
	spare -= len(finished)
	for _, id := range finished {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Progress, Part: board.Main, Key: id})
	}
	before := t.owner.clock.Now().Add(-t.bounds.Status - statusMargin).Unix()
	accepted, phaseOnly := t.owner.board.Ended(before, min(spare, maxPhaseDeletes))
	for _, id := range phaseOnly {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Table, Part: board.Main, Key: board.PhaseKey(id)})
	}
	if len(accepted) > 0 { // Their phase rows are deleted once the board shows that these rows are gone.
		t.group.Go(func() error { t.deleteExpired(accepted); return nil })
	}
	return finished, phaseOnly
}

// deleteExpired deletes the acceptance and cancellation rows of jobs that ended long
// ago. It needs no proof of ownership.
func (t *term) deleteExpired(ids []string) {
	t.writePartitions(ids, t.owner.board.PartsOf, func(w *platform.Write, part, id string) {
		w.Deletes = append(w.Deletes,
			platform.Key{Table: board.Table, Part: part, Key: board.AcceptKey(id)},
			platform.Key{Table: board.Table, Part: part, Key: board.CancelKey(id)},
			platform.Key{Table: board.Submitted, Part: part, Key: id}) // Still there if trimSubmissions failed to write.
	})
}

// trimSubmissions deletes the submissions of ended jobs without runs. It collects the
// jobs and writes every trimInterval. Submissions that a term leaves are deleted by
// the next one.
func (t *term) trimSubmissions(ids []string) {
	now := t.owner.clock.Now()
	t.mu.Lock()
	t.untrimmed = append(t.untrimmed, ids...)
	due := now.Sub(t.lastTrim) >= trimInterval
	if due {
		ids, t.untrimmed, t.lastTrim = t.untrimmed, nil, now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	t.writePartitions(ids, t.owner.board.PartsOf, t.addSubmissionTrim)
}

// addSubmissionTrim adds the deletion of a job's submission to a write.
func (t *term) addSubmissionTrim(w *platform.Write, part, id string) {
	e, ok := t.owner.board.Job(id)
	if !ok || e.Job == nil {
		w.Deletes = append(w.Deletes, platform.Key{Table: board.Submitted, Part: part, Key: id})
		return
	}
	put, err := board.Put(board.Table, part, board.AcceptKey(id), board.AcceptedJob(e.Job))
	if err != nil {
		t.owner.logger.Error("submission not deleted", zap.String("id", id), zap.Error(err))
		return
	}
	w.Puts = append(w.Puts, put)
}

// expireCancellations deletes the cancellations of jobs that were never accepted, some time
// after a late submission could have been written. The term's mu is held.
func (t *term) expireCancellations(now time.Time) {
	seen := make(map[string]time.Time)
	var expired []string
	for _, id := range t.owner.board.Unaccepted() {
		first, ok := t.unaccepted[id]
		if !ok {
			first = now
		}
		if now.Sub(first) > t.bounds.Status+statusMargin {
			expired = append(expired, id)
			first = now // It is deleted again if the board still shows it after that time.
		}
		seen[id] = first
	}
	t.unaccepted = seen
	if len(expired) == 0 {
		return
	}
	t.group.Go(func() error {
		t.writePartitions(expired, board.PartsFor, func(w *platform.Write, part, id string) {
			w.Deletes = append(w.Deletes, platform.Key{Table: board.Table, Part: part, Key: board.CancelKey(id)})
		})
		return nil
	})
}

// writePartitions writes what add returns for each job to all partitions that have rows
// of the job by parts, with many jobs in one write.
func (t *term) writePartitions(ids []string, parts func(id string) []string, add func(w *platform.Write, part, id string)) {
	writes := make(map[string]*platform.Write)
	send := func(part string) {
		if _, err := t.owner.store.Write(writes[part]); err != nil {
			t.owner.logger.Info("rows of ended jobs not deleted", zap.String("part", part), zap.Int("rows", writes[part].Size()), zap.Error(err))
		}
		delete(writes, part)
	}
	for _, id := range ids {
		for _, part := range parts(id) {
			if writes[part] == nil {
				writes[part] = &platform.Write{}
			}
			add(writes[part], part, id)
			if writes[part].Size() > platform.MaxEntries-maxEntriesPerJob {
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

// takeExpired removes and returns the jobs whose phase rows an earlier write has deleted, though
// it got no response: the board doesn't show them any more. The others are deleted again.
func (r *recorder) takeExpired() []string {
	var gone []string
	for id := range r.expiring {
		if !r.term.owner.board.HasPhase(id) {
			gone = append(gone, id)
			delete(r.expiring, id)
		}
	}
	return gone
}

// noteExpiring notes that a failed write may have deleted the phase rows of jobs.
func (r *recorder) noteExpiring(ids []string) {
	if r.expiring == nil {
		r.expiring = make(map[string]bool)
	}
	for _, id := range ids {
		r.expiring[id] = true
	}
}
