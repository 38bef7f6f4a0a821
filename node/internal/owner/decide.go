package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// minDecideInterval is the least time between two decisions, so that events in quick
	// succession are handled by one decision.
	minDecideInterval = 10 * time.Millisecond
	// maxDecideInterval is the time after which a decision is made without an event, for
	// deadlines that have passed.
	maxDecideInterval = 100 * time.Millisecond
	// waitsInterval is how often long waits are logged and gauges updated.
	waitsInterval = time.Second
)

// decide runs the decision loop: it carries out the plan's orders after each event, until
// ctx ends.
func (t *term) decide(ctx context.Context) error {
	tick := t.owner.clock.Every(maxDecideInterval, func() { signal(t.wakeDecider) })
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.wakeDecider:
		}
		t.decideOnce()
		t.mu.Lock()
		t.lag.observe(t.owner.clock.Now())
		t.mu.Unlock()
		_ = t.owner.clock.Sleep(ctx, minDecideInterval)
	}
}

func (t *term) decideOnce() {
	now := t.owner.clock.Now()
	t.mu.Lock()
	if t.frozen {
		t.mu.Unlock()
		return
	}
	if c := t.owner.configs.Config(); c != t.config {
		t.config = c
		t.plan.Configure(c)
	}
	t.applyEvacuations()
	t.noteExecutorsListed()
	t.setPaused(!t.mayStart())
	t.avoidUnconfirmedZone(now)
	t.plan.SetAdviceSlots(max(1, len(t.owner.board.Hosts())))
	orders := t.plan.Decide(now)
	t.updateForecast(now)
	t.longestDecision = max(t.longestDecision, t.owner.clock.Now().Sub(now))
	t.noteDeferred(now)
	var waits []plan.Wait
	if now.Sub(t.waitsLogged) > waitsInterval {
		t.waitsLogged = now
		waits = t.plan.LongWaits(now)
		excluded := t.plan.CountExclusions(now)
		t.expireCancellations(now)
		t.updateGauges(excluded)
		t.logLoad(excluded)
		t.noteUnknownZones()
		t.noteWasted(now)
		for _, sess := range t.sessions {
			sess.expireEntry(now)
			sess.retire(now)
		}
	}
	for _, s := range orders.Starts {
		if sess := t.sessions[s.Executor]; sess != nil && !t.holdStart(sess, s) {
			sess.enqueue(order{start: &s})
		}
	}
	for _, s := range orders.Stops {
		if sess := t.sessions[s.Executor]; sess != nil {
			sess.enqueue(order{stop: &s})
		}
	}
	for _, p := range orders.Paces {
		if sess := t.sessions[p.Executor]; sess != nil {
			sess.enqueue(order{pace: &p})
		}
	}
	t.mu.Unlock()
	for i := range waits {
		t.logWait(&waits[i], now)
	}
	for _, s := range orders.Stalls {
		t.owner.logger.Info("run makes no progress", zap.String("id", s.Task.Job), zap.Int("occur", s.Task.Occur), zap.Int("step", s.Task.Step),
			zap.Int("index", s.Task.Index), zap.Int("run", s.Number), zap.String("executor", s.Executor), zap.Int("percent", s.Percent),
			zap.Duration("for", s.For), zap.Bool("stopped", s.Stopped), zap.Int64("epoch", t.epoch))
	}
	t.logAnomalies(&orders)
	t.logMoves(orders.Moves)
	t.noteIdleAdvice(&orders)
	for _, x := range orders.Expired {
		t.noteExpiry(x)
	}
	for _, a := range orders.AdviceRequests {
		t.group.Go(func() error { t.askAdviser(a); return nil })
	}
	if orders.More {
		signal(t.wakeDecider)
	}
	signal(t.wakeRecorder)
}

// logAnomalies logs and counts the runs that executors lost, and those found beside others.
func (t *term) logAnomalies(orders *plan.Orders) {
	for _, v := range orders.Vanished {
		t.owner.metrics.vanished.Inc(1)
		t.owner.logger.Warn("run has vanished", zap.String("id", v.Task.Job), zap.Int("occur", v.Task.Occur), zap.Int("step", v.Task.Step),
			zap.Int("index", v.Task.Index), zap.Int("run", v.Number), zap.String("executor", v.Executor), zap.Duration("for", v.For), zap.Int64("epoch", t.epoch))
	}
	for _, d := range orders.Duplicates {
		t.owner.metrics.doubled.Inc(1)
		t.owner.logger.Warn("task has another run", zap.String("id", d.Task.Job), zap.Int("occur", d.Task.Occur), zap.Int("step", d.Task.Step),
			zap.Int("index", d.Task.Index), zap.Int("run", d.Number), zap.String("executor", d.Executor), zap.Bool("done", d.Done),
			zap.Int("other", d.Other.Number), zap.String("on", d.Other.Executor), zap.Int64("epoch", t.epoch))
	}
}

// logLoad logs how well this host keeps up with the cell, and how many executors get no new
// work, by reason. The term's mu is held.
func (t *term) logLoad(excluded map[plan.Exclusion]int) {
	reasons := make(map[string]int, len(excluded))
	for x, n := range excluded {
		reasons[x.String()] = n
	}
	t.owner.logger.Info("owner load", zap.Int64("epoch", t.epoch), zap.Int("jobs", t.plan.Jobs()), zap.Int("waiting", t.plan.Waiting()), zap.Int("unrecorded", t.plan.Unrecorded()),
		zap.Duration("lag", t.lag.smoothed), zap.Duration("decision", t.longestDecision), zap.Duration("confirmed", t.owner.clock.Boot()-t.writeConfirmed),
		zap.Int("executors", len(t.sessions)), zap.Int("slow", t.plan.CountSlow(t.owner.clock.Now())), zap.Any("excluded", reasons))
	t.longestDecision = 0
}

// logWait logs why a stage is waiting.
func (t *term) logWait(w *plan.Wait, now time.Time) {
	t.owner.logger.Info("step waits", zap.String("id", w.Step.Job), zap.Int("occur", w.Step.Occur), zap.Int("step", w.Step.Step),
		zap.String("reason", w.Reason), zap.Int("tasks", w.Waiting), zap.Duration("for", now.Sub(w.Since)), zap.Int("usable", w.Usable),
		zap.Int("allowed", w.Allowed), zap.Int("roomy", w.WithCapacity), zap.Bool("excess", w.OverQuota), zap.Bool("asking", w.AdvicePending), zap.Int64("epoch", t.epoch))
}
