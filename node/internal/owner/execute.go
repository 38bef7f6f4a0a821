package owner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// execute sends queued orders to the executor, one after another, until the session is
// closed.
func (sess *session) execute() {
	for !sess.closed() { // A select may choose an order though the session is closed.
		select {
		case <-sess.ctx.Done():
			return
		case <-sess.pollRequested:
			sess.pollNow()
		case o := <-sess.orders:
			switch {
			case o.start != nil:
				sess.start(o.start)
			case o.stop != nil:
				sess.stop(o.stop)
			case o.pace != nil:
				sess.pace(o.pace)
			}
		}
	}
}

func (sess *session) start(s *plan.Start) {
	if sess.sendStart(s) {
		sess.pollNow()
	}
}

// sendStart sends the start of a run, unless it must not start any more, and gives the outcome to
// the plan. It reports whether the outcome is unknown.
func (sess *session) sendStart(s *plan.Start) bool {
	t := sess.term
	sess.starting.Lock()
	defer sess.starting.Unlock()
	now := t.owner.clock.Now()
	t.mu.Lock()
	if !t.plan.StillWanted(now, s) { // It has become obsolete in the queue.
		t.refuse(now, *s, plan.RefusedNumber)
		t.mu.Unlock()
		return false
	}
	end := sess.extendLease(now)
	if why, refused := t.checkStart(sess, end); refused {
		t.refuse(now, *s, why)
		t.mu.Unlock()
		return false
	}
	if sess.fence.acked {
		sess.raiseFence()
	}
	fence := sess.fence
	t.mu.Unlock()
	clock, err := sess.client.Start(platform.StartOrder{
		Task: s.Task, Number: s.Number, Spec: s.Spec, LeaseEnd: end, Fence: fence.token, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
	}, orderTimeout)
	sess.noteOutcome(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil && sess.crossed(fence, clock, now) {
		t.plan.Unanswered(t.owner.clock.Now(), *s) // The next report tells whether the run is of the present life.
		return true
	}
	return sess.applyStart(s, fence, clock, err)
}

// checkStart reports whether a run must not be started under the given lease, and why. If
// starts are paused or the executor's zone is being evacuated, the refusal doesn't count against
// the executor. The term's mu is held.
func (t *term) checkStart(sess *session, lease time.Duration) (plan.Refusal, bool) {
	switch {
	case sess.silent || lease == 0 || sess.closed():
		return plan.RefusedUnsent, true
	case t.owner.evacuating(sess.info.Zone): // Since the decision.
		return plan.RefusedEvacuated, true
	case !t.mayStart():
		return plan.RefusedLate, true
	}
	return 0, false
}

// applyStart gives the outcome of a start that was sent with the given fence to the plan. It reports
// whether the outcome is unknown, since no response came. The term's mu is held.
func (sess *session) applyStart(s *plan.Start, sent fence, clock time.Duration, err error) bool {
	t := sess.term
	now := t.owner.clock.Now()
	if err == nil {
		sess.lease.observeClock(clock, now)
		t.plan.Started(now, *s)
		t.owner.metrics.starts.Inc(1)
		return false
	}
	t.owner.metrics.failed.Inc(1)
	t.owner.logger.Info("start failed", zap.String("id", s.Task.Job), zap.Int("step", s.Task.Step), zap.Int("index", s.Task.Index),
		zap.Int("run", s.Number), zap.String("executor", s.Executor), zap.Bool("ticket", s.Ticket != ""), zap.Int64("version", s.Config),
		zap.Int64("epoch", t.epoch), zap.Error(err))
	defer signal(t.wakeDecider)
	var refusal *platform.OrderError
	var refused *platform.RefusedError
	var dial *platform.DialError
	var other *platform.IncarnationError
	switch {
	case isFenced(err) && sent.token < sess.fence.token: // The executor has executed a later call of this session.
		t.refuse(now, *s, plan.RefusedLate)
	case errors.As(err, &refusal):
		t.applyRefusal(s, refusal.Reason)
	case errors.As(err, &refused):
		t.refuse(now, *s, plan.RefusedBusy)
	case errors.As(err, &dial):
		t.refuse(now, *s, plan.RefusedUnsent)
	case errors.As(err, &other):
		sess.dropIncarnation()
	default:
		t.plan.Unanswered(now, *s)
		return true
	}
	return false
}

// refuse counts a start that is known not to have happened and notes it in the plan. The
// term's mu is held.
func (t *term) refuse(now time.Time, s plan.Start, why plan.Refusal) {
	t.owner.metrics.refused[why].Inc(1)
	t.plan.Refused(now, s, why)
}

// applyRefusal gives an executor's refusal to the plan. The term's mu is held.
func (t *term) applyRefusal(s *plan.Start, why platform.Reason) {
	now := t.owner.clock.Now()
	switch why {
	case platform.NoRoom:
		t.refuse(now, *s, plan.RefusedRoom)
	case platform.BadTicket:
		t.refuse(now, *s, plan.RefusedTicket)
	case platform.Stale:
		t.refuse(now, *s, plan.RefusedNumber)
	case platform.Expired:
		t.refuse(now, *s, plan.RefusedLate)
	case platform.Fenced:
		t.refuse(now, *s, plan.RefusedUnsent)
	default:
		t.refuse(now, *s, plan.RefusedBusy)
	}
}

func (sess *session) stop(s *plan.Stop) {
	t := sess.term
	sentAt := t.owner.clock.Now()
	fence := sess.callFence()
	clock, err := sess.client.Stop(platform.StopOrder{Task: s.Task, Number: s.Number, Fence: fence.token}, orderTimeout)
	if sess.noteOutcome(err); err != nil {
		t.owner.logger.Info("stop failed", zap.String("id", s.Task.Job), zap.Int("run", s.Number), zap.String("executor", s.Executor), zap.Error(err))
		return // The plan repeats the order.
	}
	t.mu.Lock()
	unseen := false
	if !sess.crossed(fence, clock, sentAt) { // Otherwise the run may still start in the other life; the plan repeats the order.
		unseen = t.plan.Stopped(t.owner.clock.Now(), *s)
	}
	t.mu.Unlock()
	if unseen {
		sess.pollNow()
	}
}

// callFence returns the fence of a call that is about to be sent.
func (sess *session) callFence() fence {
	sess.term.mu.Lock()
	defer sess.term.mu.Unlock()
	return sess.fence
}

// pollNow polls the executor's runs at once, in parallel to a pending long poll, because the
// outcome of a run or the ownership depends on it.
func (sess *session) pollNow() {
	t := sess.term
	t.mu.Lock()
	p := poll{sentAt: t.owner.clock.Now(), sentBoot: t.owner.clock.Boot(), born: sess.born, token: sess.fence.token}
	t.mu.Unlock()
	rep, err := sess.client.Poll(p.order())
	sess.noteOutcome(err)
	if sess.overtaken(err, p.token) {
		signal(sess.pollRequested)
		return
	}
	if err != nil { // The executor gets no new work until a poll succeeds.
		t.mu.Lock()
		sess.markSilent(err)
		t.mu.Unlock()
		return
	}
	sess.handleReport(p, rep)
}

func (sess *session) pace(p *plan.Pace) {
	t := sess.term
	t.mu.Lock()
	sess.pacing = p
	t.mu.Unlock()
	defer sess.paced()
	_, err := sess.client.Pace(platform.PaceOrder{Task: p.Task, Number: p.Number, Percent: p.Percent, Fence: sess.callFence().token}, orderTimeout)
	if sess.noteOutcome(err); err != nil {
		t.owner.logger.Info("pace failed", zap.String("id", p.Task.Job), zap.Int("percent", p.Percent), zap.String("executor", p.Executor), zap.Error(err))
		t.mu.Lock()
		t.plan.PaceFailed(*p)
		t.mu.Unlock()
	}
}

// paced notes that no pace is on its way.
func (sess *session) paced() {
	sess.term.mu.Lock()
	defer sess.term.mu.Unlock()
	sess.pacing = nil
}

// dropIncarnation removes an executor whose incarnation has ended. The term's mu is held.
func (sess *session) dropIncarnation() {
	if sess.closed() {
		return
	}
	t := sess.term
	t.owner.logger.Info("executor incarnation ended", zap.String("executor", sess.info.ID))
	sess.close()
	t.plan.RemoveExecutor(sess.info.ID)
	signal(t.wakeDecider)
}
