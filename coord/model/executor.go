package model

import (
	"slices"
	"time"
)

// Executor is one incarnation of a machine that runs tasks, as it describes
// itself.
type Executor struct {
	ID        string        `cbor:"1,keyasint"`
	Born      time.Time     `cbor:"2,keyasint,omitempty"` // start of this incarnation, by its own clock
	Service   string        `cbor:"3,keyasint,omitempty"`
	Address   string        `cbor:"4,keyasint,omitempty"` // IP number and port
	Zone      string        `cbor:"5,keyasint,omitempty"`
	Room      Amount        `cbor:"6,keyasint"`           // total capacity for tasks
	Kind      string        `cbor:"7,keyasint,omitempty"` // hardware type
	Rack      string        `cbor:"8,keyasint,omitempty"`
	Labels    []string      `cbor:"9,keyasint,omitempty"`  // all labels, including kind and rack
	Draining  bool          `cbor:"10,keyasint,omitempty"` // it accepts no new work
	Remaining time.Duration `cbor:"11,keyasint,omitempty"` // when draining: the least time until it stops
	Cold      time.Duration `cbor:"12,keyasint,omitempty"` // how much longer it is slow since it started a short while ago; 0 if it isn't
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
