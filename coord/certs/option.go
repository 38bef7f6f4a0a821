package certs

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Option configures a Loader.
type Option func(*Loader)

// WithLog sets the logger. The default discards all messages.
func WithLog(log *zap.Logger) Option { return func(l *Loader) { l.log = log } }

// WithMetrics sets the registry of the loader's metrics. Their names begin with
// certs and the loader's name. The default is a new registry.
func WithMetrics(r metrics.Registry) Option { return func(l *Loader) { l.registry = r } }
