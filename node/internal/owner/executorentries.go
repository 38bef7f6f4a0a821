package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// storeDownAfter is how long no executor's entry may change before the store counts as
// having been unavailable.
const storeDownAfter = 1200 * time.Millisecond

// executorEntries follows the executor table for a term: it opens and closes sessions and
// gives executors' entries to the plan.
type executorEntries struct{ term *term }

// Reset implements follow.Handler.
func (r *executorEntries) Reset(rows []platform.Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	t := r.term
	t.mu.Lock()
	for id, sess := range t.sessions {
		if !present[id] {
			sess.markUnlisted()
		}
	}
	t.mu.Unlock()
	r.Change(rows)
	t.mu.Lock()
	if !t.entriesLoaded {
		t.addUnlisted()
	}
	t.plan.AllExecutorsListed(t.began) // The table was read later.
	t.entriesLoaded = true
	t.mu.Unlock()
	signal(t.wakeDecider)
}

// executorsMayBeMissing reports whether live executors may lack entries, because the store was
// unavailable until a moment ago or no entry has changed for a while. The second covers the
// first writes after an outage, which come before any entry has changed.
func (t *term) executorsMayBeMissing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.clock.Now()
	return now.Sub(t.lastEntryChange) > storeDownAfter || t.executorsMayBeMissingAt(now)
}

// Change implements follow.Handler.
func (r *executorEntries) Change(rows []platform.Row) {
	for _, row := range rows {
		r.apply(row)
	}
}

func (r *executorEntries) apply(row platform.Row) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	sess := t.sessions[row.Key]
	now, reborn := t.owner.clock.Now(), false
	if now.Sub(t.lastEntryChange) > storeDownAfter {
		t.lastOutageEnd = now
	}
	t.lastEntryChange = now
	if row.Deleted {
		if sess != nil {
			sess.markUnlisted()
		}
		return
	}
	info, err := platform.ParseExecutor(row.Key, row.Value)
	if err != nil {
		t.owner.logger.Warn("skipping executor: entry not decoded", zap.Error(err))
		if sess != nil {
			sess.noteUnreadable(now)
		}
		return
	}
	if sess != nil && sess.info.Address != info.Address && !info.Born.IsZero() && info.Born.Equal(sess.born) {
		t.owner.logger.Info("executor has a new address", zap.String("executor", info.ID), zap.String("address", info.Address))
		sess = sess.reconnect(info)
	}
	if sess != nil && (sess.info.Address != info.Address || !sess.born.IsZero() && info.Born.After(sess.born)) {
		t.owner.logger.Info("executor has a new incarnation", zap.String("executor", info.ID), zap.Time("born", info.Born))
		sess.close()
		sess.refuseQueued()
		t.plan.NewIncarnation(now, info.ID)
		reborn, sess = true, nil
	}
	if sess == nil {
		sess = newSession(t, info)
		if reborn {
			sess.doubtLease(now)
		}
		t.sessions[info.ID] = sess
		t.plan.SetExecutor(info)
		t.noteUsed(sess)
		sess.run()
		return
	}
	if changed := sess.updateEntry(info); changed {
		t.plan.SetExecutor(info)
		signal(t.wakeDecider)
	}
	t.noteUsed(sess)
}
