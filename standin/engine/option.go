package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// Option configures an Endpoint in New.
type Option func(*Endpoint)

// WithTimer sets the source of time. The caller has to run it, or advance it if
// it is manual.
func WithTimer(s *timer.Service) Option {
	return func(e *Endpoint) { e.timer = s }
}

// WithKind sets the kind of endpoint; the default is point.Worker.
func WithKind(k point.Kind) Option {
	return func(e *Endpoint) { e.kind = k }
}

// WithPlace sets the availability zone and the rack of the endpoint.
func WithPlace(zone, rack string) Option {
	return func(e *Endpoint) { e.zone, e.rack = zone, rack }
}

// WithCapacity sets the endpoint's total resources.
func WithCapacity(n wire.Needs) Option {
	return func(e *Endpoint) { e.capacity = n }
}

// WithFence sets how calls of former owners are fenced; the default is
// point.FenceEpoch. With point.FenceClock the endpoint ignores epochs and
// accepts calls of any owner.
func WithFence(f point.Fence) Option {
	return func(e *Endpoint) { e.fence = f }
}

// WithUsageLag sets the delay until a change of a running task's usage is
// reported.
func WithUsageLag(d time.Duration) Option {
	return func(e *Endpoint) { e.usageLag = d }
}

// WithStrict sets whether starts that exceed the capacity are refused, which is
// the default. Otherwise they run. Both cases are logged as Over.
func WithStrict(strict bool) Option {
	return func(e *Endpoint) { e.strict = strict }
}

// WithLog sets the event log, which several endpoints may share. By default
// each endpoint has its own.
func WithLog(l *Log) Option {
	return func(e *Endpoint) { e.log = l }
}
