package sched

import "github.com/balsamford/balsamford/coord/timer"

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithTimer makes the scheduler read the time from s.
func WithTimer(s *timer.Service) Option {
	return func(d *Scheduler) { d.timer = s }
}

// WithLimit makes the scheduler enforce l.
func WithLimit(l Limit) Option {
	return func(d *Scheduler) { d.limit = l }
}

// WithPolicy sets the initial policy.
func WithPolicy(p Policy) Option {
	return func(d *Scheduler) { d.initialPolicy = p }
}
