package owner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// execute carries out orders, one after another, until the agent ends.
func (a *agent) execute() {
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-a.doubt:
			a.look()
		case o := <-a.orders:
			switch {
			case o.start != nil:
				a.start(o.start)
			case o.stop != nil:
				a.stop(o.stop)
			case o.pace != nil:
				a.pace(o.pace)
			}
		}
	}
}

func (a *agent) start(s *plan.Start) {
	t := a.term
	now := t.owner.clock.Now()
	t.mu.Lock()
	end := a.lease.extend(now, t.leaseLeft())
	if why, refused := t.unsent(a, end); refused {
		t.plan.Refused(now, *s, why)
		t.mu.Unlock()
		return
	}
	t.mu.Unlock()
	if a.order(s, end) {
		a.look()
	}
}

// unsent reports whether the start of a run under a lease isn't to be sent, and why.
// While this owner may start nothing, that doesn't speak against the executor. The
// term's mu is held.
func (t *term) unsent(a *agent, lease time.Duration) (plan.Refusal, bool) {
	switch {
	case a.silent || lease == 0:
		return plan.RefusedUnsent, true
	case !t.mayStart():
		return plan.RefusedLate, true
	}
	return 0, false
}

// order sends the start of a run under a lease and takes the answer. It reports
// whether there was none.
func (a *agent) order(s *plan.Start, end time.Duration) bool {
	t := a.term
	clock, err := a.client.Start(platform.StartOrder{
		Task: s.Task, Number: s.Number, Spec: s.Spec, LeaseEnd: end, Fence: t.epoch, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}, orderTimeout)
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		a.lease.heard(clock, now)
		t.plan.Started(now, *s)
		t.owner.counts.starts.Inc(1)
		return false
	}
	t.owner.counts.failed.Inc(1)
	t.owner.logger.Info("start failed", zap.String("id", s.Task.Job), zap.Int("step", s.Task.Step), zap.Int("index", s.Task.Index),
		zap.Int("run", s.Number), zap.String("executor", s.Executor), zap.Int64("epoch", t.epoch), zap.Error(err))
	defer notify(t.wake)
	var refusal *platform.OrderError
	var refused *platform.RefusedError
	var dial *platform.DialError
	var other *platform.IncarnationError
	switch {
	case errors.As(err, &refusal):
		t.refused(s, refusal.Reason)
	case errors.As(err, &refused):
		t.plan.Refused(now, *s, plan.RefusedBusy)
	case errors.As(err, &dial):
		t.plan.Refused(now, *s, plan.RefusedUnsent)
	case errors.As(err, &other):
		a.gone()
	default:
		t.plan.Unanswered(now, *s)
		return true
	}
	return false
}

// refused takes an executor's reason. The term's mu is held.
func (t *term) refused(s *plan.Start, why platform.Reason) {
	now := t.owner.clock.Now()
	switch why {
	case platform.NoRoom:
		t.plan.Refused(now, *s, plan.RefusedRoom)
	case platform.BadTicket:
		t.plan.Refused(now, *s, plan.RefusedTicket)
	case platform.Stale:
		t.plan.Refused(now, *s, plan.RefusedNumber)
	case platform.Expired:
		t.plan.Refused(now, *s, plan.RefusedLate)
	case platform.Fenced:
		t.plan.Refused(now, *s, plan.RefusedUnsent)
	default:
		t.plan.Refused(now, *s, plan.RefusedBusy)
	}
}

func (a *agent) stop(s *plan.Stop) {
	t := a.term
	if _, err := a.client.Stop(platform.StopOrder{Task: s.Task, Number: s.Number, Fence: t.epoch}, orderTimeout); err != nil {
		t.owner.logger.Info("stop failed", zap.String("id", s.Task.Job), zap.Int("run", s.Number), zap.String("executor", s.Executor), zap.Error(err))
		return // The plan orders it again.
	}
	now := t.owner.clock.Now()
	t.mu.Lock()
	unseen := t.plan.Stopped(now, *s)
	t.mu.Unlock()
	if unseen {
		a.look()
	}
}

// look asks for the executor's runs at once, beside the call that it may hold: the
// fate of a run or of the ownership hangs on it.
func (a *agent) look() {
	t := a.term
	now, asked := t.owner.clock.Now(), t.owner.clock.Boot()
	t.mu.Lock()
	o := platform.WatchOrder{Fence: t.epoch, Acked: a.kept}
	t.mu.Unlock()
	rep, err := a.client.Poll(o)
	if err != nil { // No more work goes there until a watch is answered.
		t.mu.Lock()
		a.mute(err)
		t.mu.Unlock()
		return
	}
	a.reported(now, asked, rep)
}

func (a *agent) pace(p *plan.Pace) {
	t := a.term
	if _, err := a.client.Pace(platform.PaceOrder{Task: p.Task, Number: p.Number, Percent: p.Percent, Fence: t.epoch}, orderTimeout); err != nil {
		t.owner.logger.Info("pace failed", zap.String("id", p.Task.Job), zap.Int("percent", p.Percent), zap.String("executor", p.Executor), zap.Error(err))
	}
}

// gone notes that the executor's incarnation has ended. The term's mu is held.
func (a *agent) gone() {
	t := a.term
	t.owner.logger.Info("executor's incarnation has ended", zap.String("executor", a.info.ID))
	a.end()
	t.plan.RemoveExecutor(a.info.ID)
	notify(t.wake)
}
