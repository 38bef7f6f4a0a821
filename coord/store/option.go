package store

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

// Option configures a Memory.
type Option func(*Memory)

// WithTimer sets the clock. It must be driven by Run or Advance for the delays
// of the faults Slow and Late to end. The default is the machine's clock, which
// isn't driven.
func WithTimer(s *timer.Service) Option {
	return func(m *Memory) { m.timer = s }
}

// WithHostLag sets the delay until a change to the list of hosts becomes visible.
// The default is 0.
func WithHostLag(d time.Duration) Option {
	return func(m *Memory) { m.hosts.lag = d }
}

// WithObjectLag sets the delay until a put object becomes visible. The default
// is 0.
func WithObjectLag(d time.Duration) Option {
	return func(m *Memory) { m.objects.lag = d }
}

// WithRegistry sets the registry of the metrics: store.reads, store.writes and
// store.lost, the number of calls that failed with an *UnavailableError.
func WithRegistry(r metrics.Registry) Option {
	return func(m *Memory) { m.counts = newCounts(r) }
}
