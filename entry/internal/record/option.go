package record

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	defaultRetention         = 5 * time.Minute
	defaultMaxRecords        = 65536
	defaultMaxTotalBodyBytes = 4 << 20 // bytes
)

// Option configures a Keeper in New.
type Option func(*Keeper, *metrics.Registry)

// WithRetention sets how long records are kept. The default is 5 minutes.
func WithRetention(d time.Duration) Option {
	return func(k *Keeper, _ *metrics.Registry) { k.retention = d }
}

// WithMaxRecords sets the maximum number of records in memory. The default is 65536.
func WithMaxRecords(n int) Option {
	return func(k *Keeper, _ *metrics.Registry) { k.maxRecords = n }
}

// WithRegistry sets the registry for the metrics.
func WithRegistry(r metrics.Registry) Option {
	return func(_ *Keeper, dst *metrics.Registry) { *dst = r }
}
