package certs

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// Option changes how New makes a Loader.
type Option func(*Loader)

// WithLog sets the logger.
func WithLog(log *zap.Logger) Option { return func(l *Loader) { l.log = log } }

// WithMetrics sets the registry in which the loader counts.
func WithMetrics(r metrics.Registry) Option { return func(l *Loader) { l.registry = r } }
