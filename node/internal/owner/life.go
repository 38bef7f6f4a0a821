package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// An executor that starts again keeps its ID, and what is sent to it names no life of it. A call
// may be executed seconds after it was sent, by a later life than the one that it was meant for.
// That life would forget ends that nobody has seen, if they have numbers that the call
// acknowledges. What ties a call to a life is its fencing token, since an executor does nothing
// for a lower token than the highest one that it has seen:
//
//   - Each life gets a token of its own, with the first call that is sent once the life is known.
//     It has executed no later call of an earlier life once that call is answered.
//   - A start gets a higher token than each acknowledgement that was sent before. A life of which
//     the owner doesn't know can only have ends of runs that it started, so that it refuses these
//     acknowledgements.
//   - An acknowledgement isn't sent while a start that was sent before it has no answer, since
//     another life may have executed the start.
//
// A call without an answer raises the token as well, and nothing is acknowledged until a poll that
// was sent later is answered by the life that is known.

// callsPerEpoch is how many tokens each epoch has for an executor. Tokens stay exact as JSON
// numbers of double precision in the first two million epochs.
const callsPerEpoch = 1 << 32

// fence is what the calls of a session know of the executor's life. The term's mu guards it.
type fence struct {
	token    int64 // sent with each call
	life     int64 // token of the first call to the present life
	unproved int64 // the life is in doubt until a poll with this token or a higher one is answered; 0 if it isn't
	acked    bool  // an acknowledgement was sent under token
}

// raiseFence gives later calls a higher token than all earlier ones. The term's mu is held.
func (sess *session) raiseFence() {
	t := sess.term
	t.fences[sess.info.ID]++
	sess.fence.token, sess.fence.acked = t.epoch*callsPerEpoch+t.fences[sess.info.ID], false
}

// beginLifeFence separates the calls to a new life from all earlier ones. The term's mu is held.
func (sess *session) beginLifeFence() {
	sess.raiseFence()
	sess.fence.life, sess.fence.unproved = sess.fence.token, sess.fence.token
}

// doubtLife notes that a call may still be executed, or that it was executed by another life than
// the one that is known. The term's mu is held.
func (sess *session) doubtLife() {
	sess.raiseFence()
	sess.fence.unproved = sess.fence.token
}

// noteOutcome notes how a call to the executor has ended.
func (sess *session) noteOutcome(err error) {
	if !noResponse(err) {
		return
	}
	sess.term.mu.Lock()
	defer sess.term.mu.Unlock()
	if !sess.closed() { // Otherwise another session has a higher token.
		sess.doubtLife()
	}
}

// proveLife notes that the known life of the executor has answered a poll. The term's mu is held.
func (sess *session) proveLife(p poll) {
	if p.token >= sess.fence.unproved {
		sess.fence.unproved = 0
	}
	if p.token >= sess.fence.life {
		sess.ackedSeq = max(sess.ackedSeq, p.acked)
	}
}

// acknowledge returns the last end that a poll acknowledges, 0 for none. The caller holds
// sess.starting, so that no start is on its way, and the term's mu.
func (sess *session) acknowledge() int64 {
	if sess.fence.unproved > 0 || sess.recordedSeq <= sess.ackedSeq {
		return 0
	}
	sess.fence.acked = true
	return sess.recordedSeq
}

// overtaken reports whether the executor refused a call since it has executed a later one of this
// session.
func (sess *session) overtaken(err error, token int64) bool {
	if !isFenced(err) {
		return false
	}
	sess.term.mu.Lock()
	defer sess.term.mu.Unlock()
	return token < sess.fence.token
}

// anotherLife reports whether the clock of an answer to a call that was sent at sentAt shows that
// the executor has begun another life, and notes that. The term's mu is held.
func (sess *session) anotherLife(clock time.Duration, sentAt time.Time) bool {
	if !sess.lease.precedes(clock, sentAt) {
		return false
	}
	sess.term.owner.logger.Info("answer of another life of the executor", zap.String("executor", sess.info.ID), zap.Duration("clock", clock),
		zap.Duration("before", sess.lease.clock), zap.Int64("epoch", sess.term.epoch))
	sess.doubtLife()
	sess.doubtLease(sess.term.owner.clock.Now())
	signal(sess.pollRequested)
	return true
}

// crossed reports whether an order that was sent at sentAt with the given fence may have been
// executed by another life than the present one, which answered with a reading of its clock. The
// term's mu is held.
func (sess *session) crossed(sent fence, clock time.Duration, sentAt time.Time) bool {
	return sess.closed() || sess.fence.life != sent.life || sess.anotherLife(clock, sentAt)
}

// ofEarlierLife reports whether a report is of an earlier life than the one that is known. The
// term's mu is held.
func (sess *session) ofEarlierLife(p poll, rep *platform.Report) bool {
	return p.token < sess.fence.life || !rep.Born.IsZero() && rep.Born.Before(sess.born)
}
