package model

import "time"

// Executor is one incarnation of a machine that runs tasks, as it says itself.
type Executor struct {
	ID        string
	Born      time.Time // start of this incarnation, by its own clock
	Service   string
	Address   string // IP number and port
	Zone      string
	Room      Amount
	Kind      string // of hardware
	Rack      string
	Labels    []string      // all, kind and rack among them
	Draining  bool          // no new work
	Remaining time.Duration // least time left when draining
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
