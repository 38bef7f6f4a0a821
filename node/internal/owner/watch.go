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
	// watchWait is how long an executor may wait for a run to end before it
	// answers; leases are extended as often.
	watchWait = time.Second
	// unconfirmedWait takes the place of watchWait while ownership isn't confirmed.
	unconfirmedWait = 300 * time.Millisecond
	// lossyWait does so at executors with urgent work while answers get lost: the
	// ends that a lost one told of are learned with the next.
	lossyWait = 200 * time.Millisecond
	// lossyTime is how long the loss of answers is expected to go on after two of
	// them within lossySpan.
	lossyTime = 5 * time.Second
	lossySpan = time.Second
	// watchGap is the least time from an answer to the next question: ends that
	// come shortly after one another are learned together.
	watchGap = 250 * time.Millisecond
	// urgentGap takes the place of watchGap while urgent work runs there, whose
	// latency objective is some hundred milliseconds.
	urgentGap = 50 * time.Millisecond
	// watchPause follows a call that failed.
	watchPause = 200 * time.Millisecond
	// notedWait is how long an executor isn't asked again while its last ends
	// aren't recorded, since it would list them again at once; urgentNoted takes its
	// place while urgent work runs there.
	notedWait   = 400 * time.Millisecond
	urgentNoted = 100 * time.Millisecond
	// fullList is how many ends an executor lists at a time.
	fullList = 500
)

// watch asks the executor for its runs again and again, which extends its
// lease, until the agent ends.
func (a *agent) watch() {
	t := a.term
	wait := time.Duration(0) // The first question learns its clock at once.
	for a.ctx.Err() == nil {
		now, asked := t.owner.clock.Now(), t.owner.clock.Boot()
		t.mu.Lock()
		if t.unconfirmed() {
			wait = min(wait, unconfirmedWait)
		}
		if now.Before(t.lossy) && t.plan.Urgent(a.info.ID) {
			wait = min(wait, lossyWait)
		}
		o := platform.WatchOrder{Fence: t.epoch, Wait: wait}
		if !a.silent { // While it is, its lease has to run out, and it may be another incarnation with unknown ends.
			o.LeaseEnd, o.Acked = a.lease.extend(now, t.leaseLeft()), a.kept
		}
		t.mu.Unlock()
		rep, err := a.client.Watch(o)
		if lost(err) { // Only the answer may be.
			o.Wait = 0
			if rep, err = a.client.Watch(o); err == nil {
				t.answerLost()
			}
		}
		if err != nil {
			wait = 0
			if !a.failed(err) {
				return
			}
			_ = t.owner.clock.Sleep(a.ctx, watchPause)
			continue
		}
		wait = watchWait
		if o.LeaseEnd == 0 {
			wait = 0
		}
		answered := t.owner.clock.Now()
		if !a.reported(now, asked, rep) {
			return
		}
		a.awaitRecord()
		if rest := a.gap() - t.owner.clock.Now().Sub(answered); rest > 0 {
			_ = t.owner.clock.Sleep(a.ctx, rest)
		}
	}
}

// gap returns the least time between an answer and the next question.
func (a *agent) gap() time.Duration {
	if a.urgent() {
		return urgentGap
	}
	return watchGap
}

// urgent reports whether urgent work runs on the executor.
func (a *agent) urgent() bool {
	a.term.mu.Lock()
	defer a.term.mu.Unlock()
	return a.term.plan.Urgent(a.info.ID)
}

// lost reports whether a call got no answer.
func lost(err error) bool {
	var e *platform.LostError
	return errors.As(err, &e)
}

// answerLost notes that an executor that answers left a call unanswered.
func (t *term) answerLost() {
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastLoss) < lossySpan {
		t.lossy = now.Add(lossyTime)
	}
	t.lastLoss = now
}

// awaitRecord waits until what the executor said is recorded.
func (a *agent) awaitRecord() {
	wait := notedWait
	if a.urgent() {
		wait = urgentNoted
	}
	timeout := a.term.owner.clock.After(wait, func() { notify(a.noted) })
	defer timeout.Stop()
	for {
		a.term.mu.Lock()
		done := a.kept >= a.seen
		a.term.mu.Unlock()
		if done {
			return
		}
		select {
		case <-a.ctx.Done():
			return
		case <-a.noted:
			return
		}
	}
}

// reported gives a report to the plan. It returns false if the incarnation has
// ended.
func (a *agent) reported(asked time.Time, sent time.Duration, rep *platform.Report) bool {
	t := a.term
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.ctx.Err() != nil {
		return false
	}
	if !rep.Born.IsZero() && rep.Born.After(a.born) {
		if !a.born.IsZero() {
			t.owner.logger.Info("executor has a new incarnation", zap.String("executor", a.info.ID), zap.Time("born", rep.Born))
			t.plan.Lapsed(a.info.ID)
			a.seen, a.kept, a.clock, a.lease = 0, 0, 0, lease{}
		}
		a.born = rep.Born
	}
	if rep.Clock < a.clock {
		return true // A later one has overtaken it.
	}
	a.clock = rep.Clock
	a.lease.inherit(rep.Clock, t.bounds.Lease)
	a.lease.heard(rep.Clock, now)
	if a.silent {
		t.owner.logger.Info("executor answers again", zap.String("executor", a.info.ID))
	}
	a.silent, a.heard, a.answered = false, true, max(a.answered, sent) // A held call may have been sent before a look.
	t.taken(now)
	delete(t.lapseAt, a.info.ID)
	delete(t.lapseBy, a.info.ID)
	t.plan.Reported(now, a.info.ID, plan.Report{Asked: asked, Runs: rep.Runs, Ends: a.fresh(rep.Ends), More: len(rep.Ends) >= fullList})
	notify(t.wake)
	notify(t.record)
	return true
}

// fresh returns the ends that the plan hasn't taken yet. The term's mu is held.
func (a *agent) fresh(ends []model.End) []model.End {
	out := ends[:0]
	for _, e := range ends {
		if e.Seq > a.seen {
			a.seen = e.Seq
			out = append(out, e)
			a.note(e)
		}
	}
	return out
}

// note logs the end of a run that wasn't wanted.
func (a *agent) note(e model.End) {
	if e.Outcome == model.RunDone || e.Outcome == model.RunStopped {
		return
	}
	a.term.owner.counts.lost.Inc(1)
	a.term.owner.logger.Info("run ended early", zap.String("id", e.Task.Job), zap.Int("occur", e.Task.Occur), zap.Int("step", e.Task.Step),
		zap.Int("index", e.Task.Index), zap.Int("run", e.Number), zap.Stringer("how", e.Outcome), zap.String("executor", a.info.ID),
		zap.Int64("epoch", a.term.epoch))
}

// mute notes that the executor didn't answer a question. The term's mu is held.
func (a *agent) mute(err error) {
	if a.silent {
		return
	}
	a.silent = true
	a.term.plan.Silent(a.info.ID)
	a.term.owner.logger.Info("executor doesn't answer", zap.String("executor", a.info.ID), zap.Error(err))
}

// failed takes a failed question. It returns false if the incarnation has ended
// or nothing is left to wait for.
func (a *agent) failed(err error) bool {
	t := a.term
	now := t.owner.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var other *platform.IncarnationError
	if errors.As(err, &other) {
		a.gone()
		return false
	}
	a.mute(err)
	lapsed := a.lease.lapsed(now) || (!a.heard && now.After(t.lapseTime(a.info.ID)))
	if lapsed {
		t.plan.Lapsed(a.info.ID)
		t.plan.Settled(a.info.ID)
		notify(t.wake)
		if !a.listed {
			t.owner.logger.Info("executor is forgotten", zap.String("executor", a.info.ID))
			a.end()
			t.plan.RemoveExecutor(a.info.ID)
			return false
		}
	}
	return true
}
