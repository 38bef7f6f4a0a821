package config

import (
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Current holds what operators have stored: the configuration in force, and the zones that are
// being evacuated. A configuration replaces it only if its version is higher. Current may be
// used concurrently; it implements follow.Handler.
type Current struct {
	logger      *zap.Logger
	registry    metrics.Registry
	config      atomic.Pointer[model.Config]
	evacuations *evacuations
}

// Option changes how New makes a Current.
type Option func(*Current)

// WithRegistry sets the registry of the metrics. The default is a private one.
func WithRegistry(r metrics.Registry) Option { return func(c *Current) { c.registry = r } }

// New returns a Current without a configuration.
func New(logger *zap.Logger, opts ...Option) *Current {
	c := &Current{logger: logger, registry: metrics.NewRegistry()}
	for _, opt := range opts {
		opt(c)
	}
	c.evacuations = newEvacuations(logger, c.registry)
	return c
}

// Evacuations returns the zones that are being evacuated, in order. The slice must not be
// changed.
func (c *Current) Evacuations() []string { return c.evacuations.sorted() }

// Config returns the configuration in force, nil if there is none yet.
func (c *Current) Config() *model.Config { return c.config.Load() }

// Reset implements follow.Handler. It keeps the configuration if rows have none. The zones that
// are being evacuated are those of rows.
func (c *Current) Reset(rows []platform.Row) {
	c.evacuations.reset(rows) // They are known before the first configuration is.
	c.applyConfig(rows)
}

// Change implements follow.Handler.
func (c *Current) Change(rows []platform.Row) {
	c.evacuations.change(rows)
	c.applyConfig(rows)
}

// applyConfig puts the newest configuration of rows in force.
func (c *Current) applyConfig(rows []platform.Row) {
	for _, row := range rows {
		if row.Key != platform.ConfigKey || row.Deleted {
			continue
		}
		next, err := platform.ParseConfig(row.Value)
		if err != nil {
			c.logger.Error("invalid configuration ignored", zap.Error(err))
			continue
		}
		if old := c.config.Load(); old != nil && old.Version >= next.Version {
			continue
		}
		c.config.Store(next)
		c.logger.Info("configuration in force", zap.Int64("version", next.Version), zap.Int("queues", len(next.Queues)), zap.Int("teams", len(next.Teams)))
	}
}
