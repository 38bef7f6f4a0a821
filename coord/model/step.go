package model

import "time"

// Step is a group of tasks of a job that have the same properties.
type Step struct {
	Count       int           `cbor:"1,keyasint"`            // number of tasks
	Need        Amount        `cbor:"2,keyasint"`            // resources of one task
	Estimate    time.Duration `cbor:"3,keyasint,omitempty"`  // estimated run time of one task
	After       []int         `cbor:"4,keyasint,omitempty"`  // numbers of the steps that must be done first
	Checkpoints bool          `cbor:"5,keyasint,omitempty"`  // tasks save their progress
	Gang        bool          `cbor:"6,keyasint,omitempty"`  // tasks make progress only while all of them run
	SameRack    bool          `cbor:"7,keyasint,omitempty"`  // the gang is slow if it spans racks
	Label       string        `cbor:"8,keyasint,omitempty"`  // label that the executor must have
	Rack        string        `cbor:"9,keyasint,omitempty"`  // rack that stores the input data
	Spread      int           `cbor:"10,keyasint,omitempty"` // most tasks on one executor, 0 for no bound
	Copies      bool          `cbor:"11,keyasint,omitempty"` // several runs of one task may execute at the same time
	Lasting     bool          `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image       string        `cbor:"13,keyasint,omitempty"` // program that the tasks run; tasks of one image behave alike
	Target      time.Duration `cbor:"14,keyasint,omitempty"` // upper bound of a lasting task's tail latency
	Filler      bool          `cbor:"15,keyasint,omitempty"` // best effort: uses idle processors, so its CPU takes no capacity
	Tolerate    int           `cbor:"16,keyasint,omitempty"` // lasting tasks that the scheduler may have stopped at a time
}

// Room returns the capacity that one task takes of an executor. A filler takes
// no CPU.
func (s *Step) Room() Amount {
	room := s.Need
	if s.Filler {
		room.CPU = 0
	}
	return room
}
