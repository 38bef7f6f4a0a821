package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// deferredLogInterval is the least time between two log lines about deferred jobs.
const deferredLogInterval = time.Second

// deferredLog collects how often jobs have been deferred until it is logged.
type deferredLog struct {
	counts map[string]int // by reason
	next   time.Time      // when the next line may be logged
}

// noteDeferred counts the jobs that were deferred since the last call, and logs them at most once a
// deferredLogInterval while there are any. The term's mu is held.
func (t *term) noteDeferred(now time.Time) {
	l, n := &t.deferred, t.plan.Deferred()
	t.owner.metrics.deferred.Update(int64(n))
	for why, k := range t.plan.TakeDeferred() {
		t.owner.metrics.deferrals[why].Inc(int64(k))
		if l.counts == nil {
			l.counts = make(map[string]int, len(plan.Deferrals()))
		}
		l.counts[why.String()] += k
	}
	if n == 0 && len(l.counts) == 0 || now.Before(l.next) {
		return
	}
	t.owner.logger.Info("work deferred", zap.Int("jobs", n), zap.Any("deferred", l.counts), zap.Int("waiting", t.plan.Waiting()), zap.Int64("epoch", t.epoch))
	l.counts, l.next = nil, now.Add(deferredLogInterval)
}
