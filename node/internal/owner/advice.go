package owner

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// adviceMetrics counts the requests to the placement adviser.
type adviceMetrics struct {
	calls   metrics.Counter // requests that were sent
	named   metrics.Counter // executors that they named
	allowed metrics.Counter // of these, executors with a ticket in the answer
	failed  metrics.Counter // requests that failed
	idle    metrics.Counter // milliseconds in which a step waited for advice though slots were idle and executors had capacity
}

func newAdviceMetrics(r metrics.Registry) adviceMetrics {
	return adviceMetrics{
		calls:   metrics.GetOrRegisterCounter("node.owner.advice.calls", r),
		named:   metrics.GetOrRegisterCounter("node.owner.advice.named", r),
		allowed: metrics.GetOrRegisterCounter("node.owner.advice.allowed", r),
		failed:  metrics.GetOrRegisterCounter("node.owner.advice.failed", r),
		idle:    metrics.GetOrRegisterCounter("node.owner.advice.idle", r),
	}
}

// noteIdleAdvice counts and logs that steps wait for advice while the adviser could be asked.
func (t *term) noteIdleAdvice(orders *plan.Orders) {
	t.owner.metrics.advice.idle.Inc(orders.AdviceIdle.Milliseconds())
	for _, w := range orders.AdviceIdles {
		level := zap.WarnLevel
		if w.Reserved || w.Failed {
			level = zap.InfoLevel
		}
		t.owner.logger.Log(level, "advice idle", zap.String("id", w.Step.Job), zap.Int("occur", w.Step.Occur), zap.Int("step", w.Step.Step),
			zap.Int("tasks", w.Waiting), zap.Duration("for", w.For), zap.Int("executors", w.Executors), zap.Int("slots", w.Slots),
			zap.Bool("reserved", w.Reserved), zap.Bool("failed", w.Failed), zap.Int64("epoch", t.epoch))
	}
}

// askAdviser queries the placement adviser and gives the response to the plan.
func (t *term) askAdviser(a plan.AdviceRequest) {
	c := t.owner.metrics.advice
	c.calls.Inc(1)
	c.named.Inc(int64(len(a.Executors)))
	advice, err := t.owner.advisers.Ask(a.Step, a.Executors, a.EstimatedTime)
	now := t.owner.clock.Now()
	t.mu.Lock()
	if err != nil {
		c.failed.Inc(1)
		t.plan.AdviceFailed(now, a)
	} else {
		c.allowed.Inc(int64(len(advice.Tickets)))
		t.plan.AdviceReceived(now, a, advice.Tickets, advice.Valid)
	}
	t.mu.Unlock()
	if err != nil {
		t.owner.logger.Info("placement advice failed", zap.String("job", a.Step.Job), zap.Int("step", a.Step.Step), zap.Int("executors", len(a.Executors)), zap.Error(err))
		return
	}
	signal(t.wakeDecider)
}
