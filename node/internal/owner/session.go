package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// orderQueueSize bounds the orders queued for an executor.
	orderQueueSize = 1024
	// orderTimeout bounds one order. A round trip takes a few milliseconds, and later
	// polls show the outcome of an order that got no response.
	orderTimeout = 150 * time.Millisecond
	// entryTTL is how long an entry is valid at least after its executor has written it.
	entryTTL = 3 * time.Second
	// reregisterGrace is how long after a store outage executors may take to renew entries
	// that expired during the outage.
	reregisterGrace = 2500 * time.Millisecond
)

// session manages one incarnation of an executor: it extends the executor's lease,
// polls its reports and sends orders to it.
type session struct {
	term          *term
	client        Executor
	orders        chan order
	ctx           context.Context // cancelled when the session is closed
	cancel        context.CancelFunc
	recorded      chan struct{} // signalled when reported ends were recorded
	pollRequested chan struct{} // requests an immediate poll
	starting      sync.Mutex    // held while a start is on its way; locked before the term's mu

	// The term's mu guards the fields below.
	info          model.Executor
	born          time.Time
	fence         fence
	lease         lease
	hasEntry      bool          // the executor has an entry in the executor table
	unlistedSince time.Time     // when the entry was found missing
	unreadable    time.Time     // since when its entry can't be read; zero if it can
	retired       bool          // it gets no new work, since it has no entry
	outdated      bool          // it gets no new work, since its entry is of an earlier life
	silent        bool          // it didn't respond to the last call
	lapsed        bool          // its leases have ended since its last response
	hasReported   bool          // it has reported to this owner
	doubtUntil    time.Time     // until then a lease of an order to its last incarnation may last
	reportClock   time.Duration // time of the newest report, on the executor's clock
	lastResponse  time.Duration // boot time at which the last successful poll was sent
	pacing        *plan.Pace    // on its way, nil for none
	takenSeq      int64         // sequence number of the last end that was given to the plan
	recordedSeq   int64         // sequence number of the last end whose effect is recorded
	ackedSeq      int64         // sequence number of the last end that the executor was told to forget, by its answer
}

// newSession returns a session that isn't running yet. The term's mu is held.
func newSession(t *term, info model.Executor) *session {
	ctx, cancel := context.WithCancel(t.ctx)
	sess := &session{
		term: t, client: t.owner.connect(info.ID, info.Address), orders: make(chan order, orderQueueSize), ctx: ctx, cancel: cancel,
		recorded: make(chan struct{}, 1), pollRequested: make(chan struct{}, 1), info: info, born: info.Born, hasEntry: true,
	}
	sess.beginLifeFence()
	return sess
}

// run starts the session's two loops.
func (sess *session) run() {
	sess.term.group.Go(func() error { sess.watch(); return nil })
	sess.term.group.Go(func() error { sess.execute(); return nil })
}

// reconnect replaces the session of an executor that goes on under another address, with all
// that is known of its runs, and returns the new one. The term's mu is held.
func (sess *session) reconnect(info model.Executor) *session {
	t := sess.term
	next := newSession(t, info)
	next.info = sess.info // What else has changed is for updateEntry.
	next.info.Address = info.Address
	next.born, next.lease, next.silent, next.hasReported = sess.born, sess.lease, sess.silent, sess.hasReported
	next.reportClock, next.lastResponse, next.lapsed, next.doubtUntil = sess.reportClock, sess.lastResponse, sess.lapsed, sess.doubtUntil
	next.takenSeq, next.recordedSeq, next.ackedSeq = sess.takenSeq, sess.recordedSeq, sess.ackedSeq
	next.hasEntry, next.retired, next.outdated, next.unlistedSince, next.unreadable = sess.hasEntry, sess.retired, sess.outdated, sess.unlistedSince, sess.unreadable
	sess.close()
	sess.refuseQueued()
	t.sessions[info.ID] = next
	next.run()
	return next
}

// refuseQueued gives the starts that are still queued back to the plan. The term's mu is held.
func (sess *session) refuseQueued() {
	for {
		select {
		case o := <-sess.orders:
			if o.start != nil {
				sess.term.refuse(sess.term.owner.clock.Now(), *o.start, plan.RefusedUnsent)
			}
		default:
			return
		}
	}
}

// close stops the session. The term's mu is held.
func (sess *session) close() {
	sess.cancel()
	sess.client.Close()
	sess.term.used.stale = true
	if sess.term.sessions[sess.info.ID] == sess {
		delete(sess.term.sessions, sess.info.ID)
	}
}

// closed reports whether the session is closed. Calls that were in flight then may still fail,
// which says nothing of a session that has taken its place.
func (sess *session) closed() bool { return sess.ctx.Err() != nil }

// updateEntry stores a changed entry and reports whether the change matters to the
// plan. The term's mu is held.
func (sess *session) updateEntry(info model.Executor) bool {
	old := sess.info
	sess.info = info
	if sess.outdated && !info.Born.IsZero() && info.Born.Before(sess.born) {
		return false // It is an entry of the earlier life.
	}
	changed := !sess.hasEntry || sess.outdated || !old.SameOffer(&info)
	sess.hasEntry, sess.retired, sess.outdated, sess.unreadable = true, false, false, time.Time{}
	return changed
}

// beginLife notes that a report shows a later life than the known one, and returns false if no
// life was known. The report of the runs doesn't count, since a call to the earlier life may be
// executed after it. The executor may be of another kind now, so it gets no new work until its
// entry is of that life. The term's mu is held.
func (sess *session) beginLife(born time.Time) bool {
	t := sess.term
	if sess.born.IsZero() {
		sess.born = born
		return false
	}
	t.owner.logger.Info("executor has a new incarnation", zap.String("executor", sess.info.ID), zap.Time("born", born))
	sess.refuseQueued()
	t.plan.NewIncarnation(t.owner.clock.Now(), sess.info.ID)
	sess.beginLifeFence()
	signal(sess.pollRequested)
	sess.born, sess.takenSeq, sess.recordedSeq, sess.ackedSeq, sess.reportClock = born, 0, 0, 0, 0
	sess.doubtLease(t.owner.clock.Now())
	if sess.info.Born.IsZero() || !sess.info.Born.Before(born) {
		return true
	}
	sess.outdated = true
	info := sess.info
	info.Draining = true
	t.plan.SetExecutor(info)
	return true
}

// markUnlisted records that the executor has no entry. The term's mu is held.
func (sess *session) markUnlisted() {
	if sess.hasEntry {
		sess.hasEntry, sess.unlistedSince = false, sess.term.owner.clock.Now()
		sess.term.owner.logger.Info("executor isn't listed any more", zap.String("executor", sess.info.ID), zap.Bool("silent", sess.silent))
		sess.retire(sess.unlistedSince)
	}
}

// noteUnreadable notes at now that another writer has overwritten the executor's entry with one that
// can't be read. The executor's own entry holds for as long as it would have been valid: the executor
// has usually written it again by then. The term's mu is held.
func (sess *session) noteUnreadable(now time.Time) {
	if sess.unreadable.IsZero() {
		sess.unreadable = now
	}
}

// expireEntry treats an entry that couldn't be read for entryTTL as missing. The term's mu is held.
func (sess *session) expireEntry(now time.Time) {
	if !sess.unreadable.IsZero() && now.Sub(sess.unreadable) > entryTTL {
		sess.markUnlisted()
	}
}

// executorsMayBeMissingAt reports whether live executors may lack entries, because the store
// was unavailable until a moment ago. The term's mu is held.
func (t *term) executorsMayBeMissingAt(now time.Time) bool {
	return now.Sub(t.lastOutageEnd) < reregisterGrace
}

// retire stops new work for an executor that has lost its entry. An executor that
// responds keeps getting work while its entry may have expired because of a store
// outage. The term's mu is held.
func (sess *session) retire(now time.Time) {
	if sess.hasEntry || sess.retired {
		return
	}
	if !sess.silent && !sess.info.Draining && sess.term.executorsMayBeMissingAt(now) {
		return
	}
	sess.retired = true
	info := sess.info
	info.Draining = true
	sess.term.plan.SetExecutor(info)
	sess.term.owner.logger.Info("executor gets no new work", zap.String("executor", sess.info.ID), zap.Duration("unlisted", now.Sub(sess.unlistedSince)))
}

// enqueue queues an order. If the queue is full, a start is reported to the plan as
// not sent, and the plan repeats a stop. The term's mu is held.
func (sess *session) enqueue(o order) {
	select {
	case sess.orders <- o:
	default:
		if o.start != nil {
			sess.term.refuse(sess.term.owner.clock.Now(), *o.start, plan.RefusedUnsent)
		}
	}
}

// leaseExtension returns the longest duration for which a lease may be granted now. It
// isn't positive if ownership hasn't been confirmed for too long. The term's mu is held.
func (t *term) leaseExtension() time.Duration {
	extension := t.lastConfirmed() + t.bounds.Lease - t.owner.clock.Boot()
	if extension < leaseDuration && !t.resignInDoubt && t.hasMajority() { // A successor to a resigned owner waits for Bounds.Lease only.
		extension += unconfirmedExtension
	}
	return min(leaseDuration, t.bounds.Lease, extension)
}

// extendLease grants a lease from now and returns its end on the executor's clock, zero for
// none. A successor trusts the end that is recorded for the leases of an executor that didn't
// respond. So even if the executor responds again, its leases end before that until the stored
// record doesn't name it any more. The term's mu is held.
func (sess *session) extendLease(now time.Time) time.Duration {
	t := sess.term
	extension := t.leaseExtension()
	if at, recorded := t.recordedLeaseEnds[sess.info.ID]; recorded {
		extension = min(extension, sess.lease.maxExtension(now, t.untilStoreTime(at)))
	}
	return sess.lease.extend(now, extension)
}
