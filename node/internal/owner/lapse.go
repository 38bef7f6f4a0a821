package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// basis says how an owner knows that all leases of an executor that doesn't respond have
// ended.
type basis string

const (
	byLease  basis = "lease"  // its own leases have ended on the executor's clock
	byRecord basis = "record" // the last owner recorded when they end
	bySettle basis = "settle" // earlier owners can't have granted longer ones
)

// leasesEnded reports whether all leases of an executor that doesn't respond have ended, and
// how that is known. The term's mu is held.
func (sess *session) leasesEnded(now time.Time) (basis, bool) {
	t := sess.term
	if sess.lease.expired(now) {
		return byLease, true
	}
	ended := !sess.lease.known() && now.After(sess.unknownLeaseEnd())
	return t.leaseEndBasis(sess.info.ID), ended
}

// unknownLeaseEnd returns when all leases of an executor whose clock isn't known have ended. The
// term's mu is held.
func (sess *session) unknownLeaseEnd() time.Time {
	end := sess.term.leaseEndTime(sess.info.ID)
	if sess.doubtUntil.After(end) {
		return sess.doubtUntil
	}
	return end
}

// doubtLease notes at now that the executor has begun another life, which may execute calls that
// were meant for the earlier one. Nothing that is known of leases holds for it. The term's mu is held.
func (sess *session) doubtLease(now time.Time) {
	t := sess.term
	sess.lease = lease{}
	sess.doubtUntil = now.Add(orderTimeout + time.Duration(float64(t.bounds.Lease)/minClockRate) + settleMargin)
	delete(t.leaseEndStoreTime, sess.info.ID)
	delete(t.leaseEndHostTime, sess.info.ID)
}

// leaseEndBasis returns how leaseEndTime is known. The term's mu is held.
func (t *term) leaseEndBasis(id string) basis {
	if _, ok := t.leaseEndHostTime[id]; ok {
		return byRecord
	}
	return bySettle
}

// noteLapse logs and counts, once until the next response, that the leases of the executor
// have ended. The term's mu is held.
func (sess *session) noteLapse(by basis) {
	if sess.lapsed {
		return
	}
	sess.lapsed = true
	sess.term.noteLapse(sess.info.ID, by, sess.term.plan.RunsOn(sess.info.ID))
}

// noteExpiry does the same for an executor that was never registered.
func (t *term) noteExpiry(x plan.Expiry) {
	by := bySettle
	if x.Recorded {
		by = byRecord
	}
	t.noteLapse(x.Executor, by, x.Runs)
}

func (t *term) noteLapse(executor string, by basis, runs int) {
	t.owner.metrics.lapsed[by].Inc(1)
	t.owner.logger.Info("executor's leases have ended", zap.String("executor", executor), zap.String("basis", string(by)),
		zap.Int("runs", runs), zap.Int64("epoch", t.epoch))
}

// logClosed logs that a record of closed executors is about to be written, and the remaining
// times of the leases that it names for the first time. The term's mu is held.
func (t *term) logClosed(c *board.Closed) {
	_, latest, _ := t.owner.storeTime()
	named := make(map[string]string)
	for id, at := range c.LeaseEnds {
		if _, ok := t.recordedLeaseEnds[id]; !ok {
			named[id] = (at - latest).Round(time.Millisecond).String()
		}
	}
	t.owner.logger.Info("recording closed executors", zap.Int64("epoch", t.epoch), zap.Int("executors", len(c.Executors)),
		zap.Int("unverified", len(c.Unverified)), zap.Int("leases", len(c.LeaseEnds)), zap.Any("named", named))
}
