package model

import "time"

// Step is a group of like tasks of a job.
type Step struct {
	Count       int           `cbor:"1,keyasint"`            // tasks
	Need        Amount        `cbor:"2,keyasint"`            // of one task
	Estimate    time.Duration `cbor:"3,keyasint,omitempty"`  // rough run time of one task
	After       []int         `cbor:"4,keyasint,omitempty"`  // steps that must be done first
	Checkpoints bool          `cbor:"5,keyasint,omitempty"`  // tasks save their progress
	Gang        bool          `cbor:"6,keyasint,omitempty"`  // tasks only work all together
	SameRack    bool          `cbor:"7,keyasint,omitempty"`  // a gang that is slow across racks
	Label       string        `cbor:"8,keyasint,omitempty"`  // that the executor must have
	Rack        string        `cbor:"9,keyasint,omitempty"`  // where the data lies
	Spread      int           `cbor:"10,keyasint,omitempty"` // most tasks on one executor, 0 for any
	Copies      bool          `cbor:"11,keyasint,omitempty"` // several runs of one task may work at a time
	Lasting     bool          `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image       string        `cbor:"13,keyasint,omitempty"` // what the tasks run; like images behave alike
	Target      time.Duration `cbor:"14,keyasint,omitempty"` // bound of the tail latency that a lasting task gives its users
	Filler      bool          `cbor:"15,keyasint,omitempty"` // uses processors that others leave; its CPU takes no room
	Tolerate    int           `cbor:"16,keyasint,omitempty"` // lasting tasks that may be away by orders at a time
}

// Room returns what one task takes of an executor's capacity.
func (s *Step) Room() Amount {
	room := s.Need
	if s.Filler {
		room.CPU = 0
	}
	return room
}
