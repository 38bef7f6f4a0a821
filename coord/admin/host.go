package admin

import "time"

// Host is the state of one process that uses the configuration, as seen by the
// host that serves the request.
type Host struct {
	Name    string        `json:"name"`
	Zone    string        `json:"zone"`
	Address string        `json:"address"`
	Reached bool          `json:"reached"`           // it responded
	Version uint64        `json:"version"`           // configuration version that it uses
	Age     time.Duration `json:"age"`               // time since its version was confirmed, in nanoseconds; negative if never
	Drained bool          `json:"drained,omitempty"` // an operator has drained it
}
