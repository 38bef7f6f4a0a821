package admin

import "time"

// Host is what the door knows of one process that follows the configuration.
type Host struct {
	Name    string        `json:"name"`
	Zone    string        `json:"zone"`
	Address string        `json:"address"`
	Reached bool          `json:"reached"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age"` // of its confirmation, in nanoseconds; negative without one
	Drained bool          `json:"drained,omitempty"`
}
