package config

import (
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Current holds the configuration in force. A configuration replaces it only if its
// version is higher. Current may be used concurrently; it implements follow.Handler.
type Current struct {
	logger *zap.Logger
	config atomic.Pointer[model.Config]
}

// New returns a Current without a configuration.
func New(logger *zap.Logger) *Current { return &Current{logger: logger} }

// Config returns the configuration in force, nil if there is none yet.
func (c *Current) Config() *model.Config { return c.config.Load() }

// Reset implements follow.Handler. It keeps the configuration if rows have none.
func (c *Current) Reset(rows []platform.Row) { c.Change(rows) }

// Change implements follow.Handler.
func (c *Current) Change(rows []platform.Row) {
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
