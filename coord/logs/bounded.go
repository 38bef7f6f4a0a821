package logs

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Bounds of the lines of one text in a second: all up to the first, then one of
// so many.
const (
	linesEach  = 60
	linesAfter = 100
)

// NewBounded returns a logger like New's that writes to out and leaves lines out
// when one text comes very often. leftOut is called for each of them and must not
// block.
func NewBounded(out zapcore.WriteSyncer, level, role, host, zone string, leftOut func()) (*zap.Logger, error) {
	l, err := to(out, level, role, host, zone)
	if err != nil {
		return nil, err
	}
	return l.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesEach, linesAfter, zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
			if d&zapcore.LogDropped > 0 {
				leftOut()
			}
		}))
	})), nil
}
