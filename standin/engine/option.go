package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// Option changes how New makes an Endpoint.
type Option func(*Endpoint)

// WithTimer sets the source of time, which has to be driven.
func WithTimer(s *timer.Service) Option {
	return func(e *Endpoint) { e.timer = s }
}

// WithKind sets what the endpoint is; the default is a worker.
func WithKind(k point.Kind) Option {
	return func(e *Endpoint) { e.kind = k }
}

// WithPlace sets where the endpoint stands.
func WithPlace(zone, rack string) Option {
	return func(e *Endpoint) { e.zone, e.rack = zone, rack }
}

// WithCapacity sets what the endpoint has.
func WithCapacity(n wire.Needs) Option {
	return func(e *Endpoint) { e.capacity = n }
}

// WithFence sets how old owners are kept out. With point.FenceClock epochs
// are ignored.
func WithFence(f point.Fence) Option {
	return func(e *Endpoint) { e.fence = f }
}

// WithUsageLag sets how late usage is reported.
func WithUsageLag(d time.Duration) Option {
	return func(e *Endpoint) { e.lag = d }
}

// WithStrict sets whether starts that would take more than there is are
// refused, which is the default. If not, they run, and the log says so.
func WithStrict(strict bool) Option {
	return func(e *Endpoint) { e.strict = strict }
}

// WithLog sets a log that several endpoints may share.
func WithLog(l *Log) Option {
	return func(e *Endpoint) { e.log = l }
}
