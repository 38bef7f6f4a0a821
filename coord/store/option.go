package store

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

// Option changes how New makes a Memory.
type Option func(*Memory)

// WithTimer sets the source of time. It has to be driven (Run or Advance) for
// the switches Slow and Late to end. The default is the machine's clock, not
// driven.
func WithTimer(s *timer.Service) Option {
	return func(m *Memory) { m.timer = s }
}

// WithHostLag sets how long a change of the list of hosts stays unseen.
func WithHostLag(d time.Duration) Option {
	return func(m *Memory) { m.hosts.lag = d }
}

// WithObjectLag sets how far the object store lags behind the table.
func WithObjectLag(d time.Duration) Option {
	return func(m *Memory) { m.objects.lag = d }
}

// WithRegistry counts calls in r: store.reads, store.writes and store.lost.
func WithRegistry(r metrics.Registry) Option {
	return func(m *Memory) { m.counts = newCounts(r) }
}
