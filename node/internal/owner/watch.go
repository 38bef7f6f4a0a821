package owner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

const (
	// watchWait is how long an executor may hold a long poll until a run ends. Leases are
	// extended with each poll.
	watchWait = time.Second
	// unconfirmedWait replaces watchWait while ownership isn't confirmed.
	unconfirmedWait = 300 * time.Millisecond
	// lossyWait replaces watchWait for executors with urgent work while responses get
	// lost. The ends in a lost response are reported again in the next one.
	lossyWait = 200 * time.Millisecond
	// lossyTime is how long more losses are expected after two responses were lost within
	// lossyWindow.
	lossyTime   = 5 * time.Second
	lossyWindow = time.Second
	// minWatchInterval is the least time from a response to the next poll, so that ends in
	// quick succession come in one report.
	minWatchInterval = 250 * time.Millisecond
	// urgentWatchInterval replaces minWatchInterval while the executor runs urgent work,
	// whose latency objective is a few hundred milliseconds.
	urgentWatchInterval = 50 * time.Millisecond
	// watchBackoff is the pause after a failed poll.
	watchBackoff = 200 * time.Millisecond
	// recordWait is how long the next poll waits for the last ends to be recorded, since
	// the executor would report them again at once; urgentRecordWait replaces it while the
	// executor runs urgent work.
	recordWait       = 400 * time.Millisecond
	urgentRecordWait = 100 * time.Millisecond
	// maxEndsListed is the most ends in one report.
	maxEndsListed = 500
)

// watch polls the executor's runs until the session is closed. Each poll also extends the
// executor's lease.
func (sess *session) watch() {
	t := sess.term
	wait := time.Duration(0) // The first poll returns at once, to read the executor's clock.
	for sess.ctx.Err() == nil {
		p, rep, err := sess.exchange(wait)
		if sess.overtaken(err, p.token) {
			_ = t.owner.clock.Sleep(sess.ctx, sess.watchInterval())
			continue
		}
		if err != nil {
			wait = 0
			if !sess.handleFailure(err) {
				return
			}
			_ = t.owner.clock.Sleep(sess.ctx, watchBackoff)
			continue
		}
		wait = watchWait
		if p.leaseEnd == 0 {
			wait = 0
		}
		respondedAt := t.owner.clock.Now()
		if !sess.handleReport(p, rep) {
			return
		}
		sess.awaitRecord()
		if rest := sess.watchInterval() - t.owner.clock.Now().Sub(respondedAt); rest > 0 {
			_ = t.owner.clock.Sleep(sess.ctx, rest)
		}
	}
}

// watchInterval returns the least time between a response and the next poll.
func (sess *session) watchInterval() time.Duration {
	if sess.hasUrgentWork() {
		return urgentWatchInterval
	}
	return minWatchInterval
}

// hasUrgentWork reports whether the executor runs urgent work.
func (sess *session) hasUrgentWork() bool {
	sess.term.mu.Lock()
	defer sess.term.mu.Unlock()
	return sess.term.plan.HasUrgentRuns(sess.info.ID)
}

// noResponse reports whether err means that a call got no response.
func noResponse(err error) bool {
	var e *platform.LostError
	return errors.As(err, &e)
}

// isFenced reports whether err means that the executor has executed a call with a higher token.
func isFenced(err error) bool {
	var e *platform.OrderError
	return errors.As(err, &e) && e.Reason == platform.Fenced
}

// noteLostResponse records that the response of an executor that is alive was lost.
func (t *term) noteLostResponse() {
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastLostResponse) < lossyWindow {
		t.lossyUntil = now.Add(lossyTime)
	}
	t.lastLostResponse = now
}

// awaitRecord waits, for a limited time, until the executor's reported ends are recorded.
func (sess *session) awaitRecord() {
	wait := recordWait
	if sess.hasUrgentWork() {
		wait = urgentRecordWait
	}
	timeout := sess.term.owner.clock.After(wait, func() { signal(sess.recorded) })
	defer timeout.Stop()
	for {
		sess.term.mu.Lock()
		done := sess.recordedSeq >= sess.takenSeq
		sess.term.mu.Unlock()
		if done {
			return
		}
		select {
		case <-sess.ctx.Done():
			return
		case <-sess.recorded:
			return
		}
	}
}

// handleReport gives the report that answered a poll to the plan. It returns false if the
// session is closed.
func (sess *session) handleReport(p poll, rep *platform.Report) bool {
	t := sess.term
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if sess.closed() {
		return false
	}
	if t.frozen {
		sess.noteFrozenReport(p, rep, now)
		return true
	}
	sess.logAnswer(p, rep)
	if !rep.Born.IsZero() && rep.Born.After(sess.born) && sess.beginLife(rep.Born) || sess.ofEarlierLife(p, rep) {
		return true
	}
	sess.proveLife(p)
	if rep.Clock < sess.reportClock {
		return true // A newer report was handled first.
	}
	sess.reportClock = rep.Clock
	sess.lease.assumeEarlierLease(rep.Clock, t.bounds.Lease)
	sess.lease.observeClock(rep.Clock, now)
	if sess.silent {
		t.owner.logger.Info("executor answers again", zap.String("executor", sess.info.ID))
	}
	sess.lapsed = false
	sess.silent, sess.hasReported, sess.lastResponse = false, true, max(sess.lastResponse, p.sentBoot) // A long poll may have been sent before a poll by pollNow that has already returned.
	t.shortenSettle(now)
	delete(t.leaseEndStoreTime, sess.info.ID)
	delete(t.leaseEndHostTime, sess.info.ID)
	returning := t.plan.Returning(sess.info.Zone)
	t.plan.Reported(now, sess.info.ID, plan.Report{RequestedAt: p.sentAt, Runs: rep.Runs, Ends: sess.newEnds(rep.Ends), More: len(rep.Ends) >= maxEndsListed})
	if !returning && t.plan.Returning(sess.info.Zone) {
		t.pollReturning(sess.info.Zone)
	}
	signal(t.wakeDecider)
	signal(t.wakeRecorder)
	return true
}

// pollReturning polls the silent executors of a zone that was cut off at once, since the first one has answered:
// their polls that are under way may have been lost, and the next ones come after a pause. The term's mu is held.
func (t *term) pollReturning(zone string) {
	silent := 0
	for _, sess := range t.sessions {
		if sess.silent && sess.info.Zone == zone {
			silent++
			signal(sess.pollRequested)
		}
	}
	t.owner.metrics.returned.Inc(1)
	t.owner.logger.Info("zone answers again", zap.String("zone", zone), zap.Int("silent", silent), zap.Int64("epoch", t.epoch))
}

// noteFrozenReport notes a report that isn't taken into account, since the state is being handed over. It shows
// that the executor follows this owner. The term's mu is held.
func (sess *session) noteFrozenReport(p poll, rep *platform.Report, now time.Time) {
	if sess.lease.known() && !sess.silent && rep.Born.Equal(sess.born) && !sess.ofEarlierLife(p, rep) && rep.Clock >= sess.reportClock {
		sess.lease.observeClock(rep.Clock, now)
		sess.lastResponse = max(sess.lastResponse, p.sentBoot)
	}
}

// newEnds returns the ends that haven't been given to the plan yet. The term's mu is held.
func (sess *session) newEnds(ends []model.End) []model.End {
	out := ends[:0]
	for _, e := range ends {
		if e.Seq > sess.takenSeq {
			sess.takenSeq = e.Seq
			out = append(out, e)
			sess.logEnd(e)
		}
	}
	return out
}

// logEnd logs and counts the end of a run that neither finished nor was stopped by an order.
func (sess *session) logEnd(e model.End) {
	if e.Outcome == model.RunDone || e.Outcome == model.RunStopped {
		return
	}
	sess.term.owner.metrics.lost.Inc(1)
	sess.term.owner.logger.Info("run ended early", zap.String("id", e.Task.Job), zap.Int("occur", e.Task.Occur), zap.Int("step", e.Task.Step),
		zap.Int("index", e.Task.Index), zap.Int("run", e.Number), zap.Stringer("how", e.Outcome), zap.String("executor", sess.info.ID),
		zap.Int64("epoch", sess.term.epoch))
}

// markSilent records that the executor didn't respond. The term's mu is held.
func (sess *session) markSilent(err error) {
	if sess.silent || sess.closed() {
		return
	}
	sess.silent = true
	sess.term.plan.Silent(sess.term.owner.clock.Now(), sess.info.ID)
	sess.term.owner.logger.Info("executor doesn't answer", zap.String("executor", sess.info.ID), zap.Error(err))
}

// handleFailure handles a failed poll. It returns false if polling must end, because the
// session is closed, the incarnation has ended, or the executor has no entry and its leases
// have expired.
func (sess *session) handleFailure(err error) bool {
	t := sess.term
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if sess.closed() {
		return false
	}
	var other *platform.IncarnationError
	if errors.As(err, &other) {
		sess.dropIncarnation()
		return false
	}
	sess.markSilent(err)
	basis, lapsed := sess.leasesEnded(now)
	if lapsed {
		sess.noteLapse(basis)
		t.plan.RemoveRuns(sess.info.ID)
		t.plan.MarkRunsKnown(sess.info.ID)
		signal(t.wakeDecider)
		if !sess.hasEntry {
			t.owner.logger.Info("executor is forgotten", zap.String("executor", sess.info.ID))
			sess.close()
			t.plan.RemoveExecutor(sess.info.ID)
			return false
		}
	}
	return true
}
