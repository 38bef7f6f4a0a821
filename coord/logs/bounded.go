package logs

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Sampling of log lines that have the same level and message, in each second:
// the first sampleFirst lines are written, then every sampleThereafter-th.
const (
	sampleFirst      = 60
	sampleThereafter = 100
)

// NewBounded returns a logger like New's that writes to out and samples frequent
// lines: of the lines with the same message in one second it writes the first 60
// and then every 100th. It calls onDropped for each dropped line; onDropped must
// not block and must allow concurrent calls. The error is a *LevelError.
func NewBounded(out zapcore.WriteSyncer, level, role, host, zone string, onDropped func()) (*zap.Logger, error) {
	l, err := newLogger(out, level, role, host, zone)
	if err != nil {
		return nil, err
	}
	return l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				onDropped()
			}
		}))
	})), nil
}
