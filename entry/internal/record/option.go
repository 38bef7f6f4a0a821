package record

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	defaultKeep   = 5 * time.Minute
	defaultLimit  = 65536
	defaultBodies = 4 << 20 // bytes
)

// Option changes how New makes a Keeper.
type Option func(*Keeper, *metrics.Registry)

// WithKeep sets how long records are kept.
func WithKeep(d time.Duration) Option {
	return func(k *Keeper, _ *metrics.Registry) { k.keep = d }
}

// WithLimit sets how many records are kept.
func WithLimit(n int) Option {
	return func(k *Keeper, _ *metrics.Registry) { k.limit = n }
}

// WithRegistry sets where the counters are registered.
func WithRegistry(r metrics.Registry) Option {
	return func(_ *Keeper, dst *metrics.Registry) { *dst = r }
}
