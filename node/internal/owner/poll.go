package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// poll describes a poll of an executor's runs.
type poll struct {
	sentAt   time.Time
	sentBoot time.Duration // boot time at which it was sent
	born     time.Time     // the executor's life as known then
	token    int64         // fencing token
	acked    int64         // last end that it acknowledged, in that life; 0 for none
	leaseEnd time.Duration // end of the lease that it granted, on the executor's clock; 0 for none
	wait     time.Duration // how long the executor was to wait for an end
}

// exchange sends a poll that waits at most wait for an end, and another one that doesn't wait if
// there is no response: the executor may have received the poll, and only the response be lost.
func (sess *session) exchange(wait time.Duration) (poll, *platform.Report, error) {
	p := sess.nextPoll(wait)
	rep, err := sess.client.Watch(p.order())
	if sess.noteOutcome(err); !noResponse(err) || sess.closed() {
		return p, rep, err
	}
	p = sess.nextPoll(0)
	rep, err = sess.client.Watch(p.order())
	if sess.noteOutcome(err); err == nil {
		sess.term.noteLostResponse()
	}
	return p, rep, err
}

// nextPoll returns a poll that waits at most wait for an end.
func (sess *session) nextPoll(wait time.Duration) poll {
	t := sess.term
	sess.starting.Lock()
	defer sess.starting.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.clock.Now()
	if t.unconfirmed() {
		wait = min(wait, unconfirmedWait)
	}
	if now.Before(t.lossyUntil) && t.plan.HasUrgentRuns(sess.info.ID) {
		wait = min(wait, lossyWait)
	}
	p := poll{sentAt: now, sentBoot: t.owner.clock.Boot(), born: sess.born, token: sess.fence.token, wait: wait}
	if !sess.silent { // A silent executor's lease must expire.
		p.leaseEnd, p.acked = sess.extendLease(now), sess.acknowledge()
	}
	return p
}

// order returns what is sent to the executor.
func (p *poll) order() platform.WatchOrder {
	return platform.WatchOrder{LeaseEnd: p.leaseEnd, Fence: p.token, Acked: p.acked, Wait: p.wait}
}

// logAnswer logs what the answer to a poll shows of the executor's life, if it isn't the life
// for which the poll was sent. The term's mu is held.
func (sess *session) logAnswer(p poll, rep *platform.Report) {
	if rep.Born.IsZero() || p.born.IsZero() || rep.Born.Equal(p.born) {
		return
	}
	if p.acked > 0 {
		sess.term.owner.metrics.crossed.Inc(1)
		sess.term.owner.logger.Warn("another life of the executor took an acknowledgement", zap.String("executor", sess.info.ID), zap.Time("sent", p.born),
			zap.Time("taken", rep.Born), zap.Int64("acked", p.acked), zap.Int("ends", len(rep.Ends)), zap.Int64("epoch", sess.term.epoch))
	}
	if rep.Born.Before(sess.born) {
		sess.term.owner.logger.Info("late report of an earlier life", zap.String("executor", sess.info.ID), zap.Time("life", rep.Born),
			zap.Time("born", sess.born), zap.Duration("clock", rep.Clock), zap.Int("ends", len(rep.Ends)), zap.Int64("epoch", sess.term.epoch))
	}
}
