package model

import (
	"slices"
	"time"
)

// Executor is one incarnation of a machine that runs tasks, as it describes
// itself.
type Executor struct {
	ID        string
	Born      time.Time // start of this incarnation, by its own clock
	Service   string
	Address   string // IP number and port
	Zone      string
	Room      Amount // total capacity for tasks
	Kind      string // hardware type
	Rack      string
	Labels    []string      // all labels, including kind and rack
	Draining  bool          // it accepts no new work
	Remaining time.Duration // when draining: the least time until it stops
	Cold      time.Duration // how much longer it is slow since it started a short while ago; 0 if it isn't
}

// SameOffer reports whether tasks find the same at the executor as at another one: its service,
// place, kind, labels and room, and whether it accepts new work and is cold.
func (e *Executor) SameOffer(other *Executor) bool {
	return e.Service == other.Service && e.Zone == other.Zone && e.Kind == other.Kind && e.Rack == other.Rack &&
		e.Room == other.Room && e.Draining == other.Draining && (e.Cold > 0) == (other.Cold > 0) && slices.Equal(e.Labels, other.Labels)
}

// Has reports whether the executor carries a label.
func (e *Executor) Has(label string) bool {
	for _, l := range e.Labels {
		if l == label {
			return true
		}
	}
	return false
}
