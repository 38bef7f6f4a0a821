package timer

import "time"

// Option configures a Service.
type Option func(*Service)

// WithManual makes the Service use manual time, which begins at start and
// advances only by Advance. Timers aren't coalesced. It is meant for tests.
func WithManual(start time.Time) Option {
	return func(s *Service) {
		s.manual = true
		s.now = start
	}
}
