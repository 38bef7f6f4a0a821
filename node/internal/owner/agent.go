package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// ordersQueued bounds the orders that wait for an executor.
	ordersQueued = 1024
	// orderTimeout bounds one order: a round trip takes some milliseconds, and an
	// order that isn't answered is found out about by other calls.
	orderTimeout = 150 * time.Millisecond
	// relistTime is how long after a return of the store the entries that lapsed
	// meanwhile may take to come back.
	relistTime = 2500 * time.Millisecond
)

// agent deals with one incarnation of an executor: it keeps its lease, takes
// its reports and carries out orders.
type agent struct {
	term   *term
	client Executor
	orders chan order
	ctx    context.Context // ends with the agent
	cancel context.CancelFunc
	noted  chan struct{} // ends have been recorded
	doubt  chan struct{} // it is to show at once whether it still follows this owner

	// The term's mu guards the fields below.
	info     model.Executor
	born     time.Time
	lease    lease
	listed   bool          // it has an entry
	missed   time.Time     // since when it has none
	retired  bool          // it gets no new work for that
	silent   bool          // it didn't answer the last call
	heard    bool          // it has reported
	clock    time.Duration // of the newest report, on the executor's clock
	answered time.Duration // when the last question was sent that it answered, on the clock that includes suspensions
	seen     int64         // last end that the plan has taken
	kept     int64         // last end whose effect is recorded
}

// newAgent returns an agent that isn't running yet. The term's mu is held.
func newAgent(t *term, info model.Executor) *agent {
	ctx, cancel := context.WithCancel(t.ctx)
	return &agent{
		term: t, client: t.owner.connect(info.ID, info.Address), orders: make(chan order, ordersQueued), ctx: ctx, cancel: cancel,
		noted: make(chan struct{}, 1), doubt: make(chan struct{}, 1), info: info, born: info.Born, listed: true,
	}
}

// run starts the agent's two loops.
func (a *agent) run() {
	a.term.group.Go(func() error { a.watch(); return nil })
	a.term.group.Go(func() error { a.execute(); return nil })
}

// end stops the agent. The term's mu is held.
func (a *agent) end() {
	a.cancel()
	a.client.Close()
	delete(a.term.agents, a.info.ID)
}

// update takes a changed entry and reports whether it matters to the plan. The
// term's mu is held.
func (a *agent) update(info model.Executor) bool {
	old := a.info
	a.info = info
	changed := !a.listed || old.Draining != info.Draining || old.Room != info.Room || old.Service != info.Service
	a.listed, a.retired = true, false
	return changed
}

// unlisted notes that the executor has no entry. The term's mu is held.
func (a *agent) unlisted() {
	if a.listed {
		a.listed, a.missed = false, a.term.owner.clock.Now()
		a.term.owner.logger.Info("executor isn't listed any more", zap.String("executor", a.info.ID), zap.Bool("silent", a.silent))
		a.retire(a.missed)
	}
}

// unsteady reports whether executors that live may lack their entries, since the
// store was away a moment ago. The term's mu is held.
func (t *term) unsteady(now time.Time) bool { return now.Sub(t.steady) < relistTime }

// retire gives no new work to an executor that has lost its entry, unless it
// answers and the entry may have lapsed because the store was away. The term's
// mu is held.
func (a *agent) retire(now time.Time) {
	if a.listed || a.retired {
		return
	}
	if !a.silent && !a.info.Draining && a.term.unsteady(now) {
		return
	}
	a.retired = true
	info := a.info
	info.Draining = true
	a.term.plan.SetExecutor(info)
	a.term.owner.logger.Info("executor gets no new work", zap.String("executor", a.info.ID), zap.Duration("unlisted", now.Sub(a.missed)))
}

// give hands an order to the agent. The term's mu is held.
func (a *agent) give(o order) {
	select {
	case a.orders <- o:
	default:
		if o.start != nil {
			a.term.plan.Refused(a.term.owner.clock.Now(), *o.start, plan.RefusedUnsent)
		}
	}
}

// leaseLeft returns for how long the lease may be extended now. The term's mu is
// held.
func (t *term) leaseLeft() time.Duration {
	left := t.confirmedAt() + t.bounds.Lease - t.owner.clock.Boot()
	if left < leaseTime && t.followed() {
		left += unconfirmedTime
	}
	return min(leaseTime, t.bounds.Lease, left)
}
