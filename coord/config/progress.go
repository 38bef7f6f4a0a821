package config

import "time"

// Progress is how far a version is in force.
type Progress struct {
	Version   uint64        `json:"version"`
	Accepted  bool          `json:"accepted"`            // in force everywhere
	Confirmed []string      `json:"confirmed,omitempty"` // processes that have applied it
	Missing   []string      `json:"missing,omitempty"`   // processes that have not, as far as is known
	Lapse     time.Duration `json:"lapse"`               // until the missing ones honour no keys of older versions
	Waits     []string      `json:"waits,omitempty"`     // what else keeps it from being accepted
}
