package oper

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/config"
)

// Option changes how New makes a Door.
type Option func(*Door)

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(d *Door) { d.log = l }
}

// WithMetrics sets the registry in which the door counts.
func WithMetrics(r metrics.Registry) Option {
	return func(d *Door) { d.registry = r }
}

// WithSettler sets what a publish waits for besides the hosts.
func WithSettler(s config.Settler) Option {
	return func(d *Door) { d.settler = s }
}
