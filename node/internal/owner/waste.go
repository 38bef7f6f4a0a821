package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// wasteLogInterval is the least time between two log lines about lost work.
const wasteLogInterval = 10 * time.Second

// wasteLog collects the work that was lost until it is logged.
type wasteLog struct {
	amounts map[string]int64 // in core-milliseconds, by reason
	next    time.Time        // when the next line may be logged
}

// noteWasted counts the work that was lost since the last call, and logs it from time to time if
// there was any. The term's mu is held.
func (t *term) noteWasted(now time.Time) {
	w := &t.waste
	for why, amount := range t.plan.TakeWasted() {
		t.owner.metrics.wasted[why].Inc(amount)
		if w.amounts == nil {
			w.amounts = make(map[string]int64, len(plan.Wastes()))
		}
		w.amounts[why.String()] += amount
	}
	if len(w.amounts) == 0 || now.Before(w.next) {
		return
	}
	t.owner.logger.Info("work lost", zap.Any("wasted", w.amounts), zap.Int64("epoch", t.epoch))
	w.amounts, w.next = nil, now.Add(wasteLogInterval)
}
