package sched

import "github.com/balsamford/balsamford/coord/timer"

// Option changes how New makes a Scheduler.
type Option func(*Scheduler)

// WithTimer makes the scheduler read the time from s.
func WithTimer(s *timer.Service) Option {
	return func(d *Scheduler) { d.timer = s }
}

// WithLimit makes the scheduler count running tasks against l.
func WithLimit(l Limit) Option {
	return func(d *Scheduler) { d.limit = l }
}

// WithPolicy sets the first policy.
func WithPolicy(p Policy) Option {
	return func(d *Scheduler) { d.first = p }
}
