package owner

import (
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// logMoves logs and counts the runs that were ordered to stop so that their tasks go on outside
// of an evacuated zone.
func (t *term) logMoves(moves []plan.Move) {
	for _, m := range moves {
		t.owner.metrics.moved.Inc(1)
		t.owner.logger.Info("run moves", zap.String("id", m.Task.Job), zap.Int("occur", m.Task.Occur), zap.Int("step", m.Task.Step),
			zap.Int("index", m.Task.Index), zap.Int("run", m.Number), zap.String("executor", m.Executor), zap.String("zone", m.Zone), zap.Int64("epoch", t.epoch))
	}
}
