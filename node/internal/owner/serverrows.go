package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// entryGap is how long none of the executors may renew its entry until the store
// counts as having been away.
const entryGap = 1200 * time.Millisecond

// serverRows gives executors' entries to the plan.
type serverRows struct{ term *term }

// Reset implements follow.Handler.
func (r *serverRows) Reset(rows []platform.Row) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
	}
	t := r.term
	t.mu.Lock()
	for id, a := range t.agents {
		if !present[id] {
			a.unlisted()
		}
	}
	t.mu.Unlock()
	r.Change(rows)
	t.mu.Lock()
	t.plan.AllExecutorsListed()
	t.listed = true
	t.mu.Unlock()
	notify(t.wake)
}

// entriesLapse reports whether executors that live may lack their entries.
func (t *term) entriesLapse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unsteady(t.owner.clock.Now())
}

// Change implements follow.Handler.
func (r *serverRows) Change(rows []platform.Row) {
	for _, row := range rows {
		r.apply(row)
	}
}

func (r *serverRows) apply(row platform.Row) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[row.Key]
	now := t.owner.clock.Now()
	if now.Sub(t.beat) > entryGap {
		t.steady = now
	}
	t.beat = now
	if row.Deleted {
		if a != nil {
			a.unlisted()
		}
		return
	}
	info, err := platform.ParseExecutor(row.Key, row.Value)
	if err != nil {
		t.owner.logger.Warn("executor's entry left out", zap.Error(err))
		return
	}
	if a != nil && (a.info.Address != info.Address || (!info.Born.IsZero() && info.Born.After(a.born))) {
		t.owner.logger.Info("executor has a new incarnation", zap.String("executor", info.ID), zap.Time("born", info.Born))
		a.end()
		t.plan.RemoveExecutor(info.ID)
		a = nil
	}
	if a == nil {
		a = newAgent(t, info)
		t.agents[info.ID] = a
		t.plan.SetExecutor(info)
		a.run()
		return
	}
	if changed := a.update(info); changed {
		t.plan.SetExecutor(info)
		notify(t.wake)
	}
}
