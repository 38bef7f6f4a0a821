package engine

import "time"

// Faults are the fault switches of an Endpoint. The zero value is an endpoint
// that is well. Durations are nanoseconds in JSON.
type Faults struct {
	Down    bool          `json:"down,omitempty"`    // nothing is answered, nothing takes effect, tasks run on
	Slow    time.Duration `json:"slow,omitempty"`    // added before each call takes effect
	Lose    bool          `json:"lose,omitempty"`    // calls take effect, their answers are lost
	Next    int           `json:"next,omitempty"`    // the answers of only so many further calls are lost
	Double  bool          `json:"double,omitempty"`  // Run gives the answer before once more, reports name each task twice
	Short   bool          `json:"short,omitempty"`   // answers of Run are cut short
	Freeze  bool          `json:"freeze,omitempty"`  // calls wait, tasks make no progress
	Fail    bool          `json:"fail,omitempty"`    // everything started fails
	Leaving bool          `json:"leaving,omitempty"` // starts are refused, and it says so
	Quiet   bool          `json:"quiet,omitempty"`   // with Leaving: it neither says so nor refuses
	Cut     []string      `json:"cut,omitempty"`     // holders whose calls don't come through
}

// leaves reports whether starts are refused.
func (f Faults) leaves() bool { return f.Leaving && !f.Quiet }

func (f Faults) cuts(holder string) bool {
	for _, h := range f.Cut {
		if h == holder {
			return true
		}
	}
	return false
}
