package config

import "time"

// Result is a publish that took effect.
type Result struct {
	Head      Head
	Published time.Duration // on the timer's Boot, when the publisher knew; the write was before
	Changes   []Difference
	Warnings  []Fault
	Unchanged bool // the set was in force already, so there is no new version
	Again     bool // the same id had been published before
	snap      *Snapshot
}
