package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// decideGap is the least time between two decisions, so that events that come
	// together are decided on together.
	decideGap = 10 * time.Millisecond
	// decidePeriod is how often is decided without an event, for what falls due.
	decidePeriod = 100 * time.Millisecond
	// waitsPeriod is how often long waits are looked for.
	waitsPeriod = time.Second
)

// decide asks the plan for orders whenever something has happened.
func (t *term) decide(ctx context.Context) error {
	tick := t.owner.clock.Every(decidePeriod, func() { notify(t.wake) })
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-t.wake:
		}
		t.decideOnce()
		_ = t.owner.clock.Sleep(ctx, decideGap)
	}
}

func (t *term) decideOnce() {
	now := t.owner.clock.Now()
	t.mu.Lock()
	if c := t.owner.configs.Config(); c != t.config {
		t.config = c
		t.plan.Configure(c)
	}
	t.pause(!t.mayStart())
	t.avoidHeld(now)
	t.plan.SetAdviceSlots(max(1, len(t.owner.board.Hosts())))
	orders := t.plan.Decide(now)
	var waits []plan.Wait
	if now.Sub(t.logged) > waitsPeriod {
		t.logged = now
		waits = t.plan.LongWaits(now)
		t.gauge()
		for _, a := range t.agents {
			a.retire(now)
		}
	}
	for _, s := range orders.Starts {
		if a := t.agents[s.Executor]; a != nil && !t.hold(a, s) {
			a.give(order{start: &s})
		}
	}
	for _, s := range orders.Stops {
		if a := t.agents[s.Executor]; a != nil {
			a.give(order{stop: &s})
		}
	}
	for _, p := range orders.Paces {
		if a := t.agents[p.Executor]; a != nil {
			a.give(order{pace: &p})
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
	for _, a := range orders.AdviceRequests {
		t.group.Go(func() error { t.ask(a); return nil })
	}
	notify(t.record)
}

// logWait logs why a stage waits.
func (t *term) logWait(w *plan.Wait, now time.Time) {
	t.owner.logger.Info("step waits", zap.String("id", w.Step.Job), zap.Int("occur", w.Step.Occur), zap.Int("step", w.Step.Step),
		zap.String("reason", w.Reason), zap.Int("tasks", w.Waiting), zap.Duration("for", now.Sub(w.Since)), zap.Int("usable", w.Usable),
		zap.Int("allowed", w.Allowed), zap.Int("roomy", w.WithCapacity), zap.Bool("excess", w.OverQuota), zap.Bool("asking", w.AdvicePending), zap.Int64("epoch", t.epoch))
}

// ask carries out a question to the placement adviser.
func (t *term) ask(a plan.AdviceRequest) {
	advice, err := t.owner.advisers.Ask(a.Step, a.Executors, a.EstimatedTime)
	now := t.owner.clock.Now()
	t.mu.Lock()
	if err != nil {
		t.plan.AdviceFailed(a.Step)
	} else {
		t.plan.AdviceReceived(a.Step, a.Executors, advice.Tickets, now.Add(advice.Valid))
	}
	t.mu.Unlock()
	if err != nil {
		t.owner.logger.Info("no advice", zap.String("job", a.Step.Job), zap.Int("step", a.Step.Step), zap.Int("executors", len(a.Executors)), zap.Error(err))
		return
	}
	notify(t.wake)
}
