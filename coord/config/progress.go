package config

import "time"

// Progress is how far a published version is in force.
type Progress struct {
	Version   uint64        `json:"version"`
	Accepted  bool          `json:"accepted"`            // in force everywhere
	Confirmed []string      `json:"confirmed,omitempty"` // processes that have applied it
	Missing   []string      `json:"missing,omitempty"`   // processes that are not known to have applied it
	Lapse     time.Duration `json:"lapse"`               // remaining time until the missing ones accept no keys of older versions
	Waits     []string      `json:"waits,omitempty"`     // other reasons why it isn't accepted yet, for operators
}
