package model

import "time"

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
