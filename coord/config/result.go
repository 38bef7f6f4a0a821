package config

import "time"

// Result is the outcome of a Publish or Preview that succeeded.
type Result struct {
	Head      Head
	Published time.Duration // on the timer's Boot, when the publisher learnt of the write's success
	Changes   []Difference
	Warnings  []Fault
	Unchanged bool // the edit changes nothing, so no version was written
	Again     bool // the edit had been published before with the same ID
	snap      *Snapshot
}
