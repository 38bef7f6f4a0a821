package logs

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON lines to standard error, each with the
// role, host and zone of the process. level is debug, info, warn or error. The
// error is a *LevelError if the level is unknown.
func New(level, role, host, zone string) (*zap.Logger, error) {
	return newLogger(zapcore.Lock(os.Stderr), level, role, host, zone)
}

// newLogger returns a logger that writes to out.
func newLogger(out zapcore.WriteSyncer, level, role, host, zone string) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, &LevelError{Level: level}
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.MessageKey = "text"
	cfg.CallerKey = ""
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), out, lvl)
	return zap.New(core).With(zap.String("role", role), zap.String("host", host), zap.String("zone", zone)), nil
}

// LevelError reports an unknown log level.
type LevelError struct{ Level string }

// Error implements error.
func (e *LevelError) Error() string {
	return `unknown log level "` + e.Level + `"; use debug, info, warn or error`
}
