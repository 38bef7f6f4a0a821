package timer

import "time"

// Option changes how New makes a Service.
type Option func(*Service)

// WithManual makes a Service whose time stands at start and moves only by
// Advance.
func WithManual(start time.Time) Option {
	return func(s *Service) {
		s.manual = true
		s.now = start
	}
}
