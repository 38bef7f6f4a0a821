package engine

import "time"

// Faults holds the fault switches of an Endpoint. The zero value injects no
// faults. Durations are nanoseconds in JSON.
type Faults struct {
	Down    bool          `json:"down,omitempty"`    // calls take no effect and get no response; tasks go on
	Slow    time.Duration `json:"slow,omitempty"`    // delay before each call takes effect
	Lose    bool          `json:"lose,omitempty"`    // calls take effect, but their responses are lost
	Next    int           `json:"next,omitempty"`    // number of further calls whose responses are lost
	Double  bool          `json:"double,omitempty"`  // Run returns the previous answer again, and reports list each task twice
	Short   bool          `json:"short,omitempty"`   // answers of Run are truncated
	Freeze  bool          `json:"freeze,omitempty"`  // calls block and tasks make no progress
	Fail    bool          `json:"fail,omitempty"`    // every task that starts fails
	Leaving bool          `json:"leaving,omitempty"` // starts are refused, and reports say that the endpoint leaves
	Quiet   bool          `json:"quiet,omitempty"`   // with Leaving: starts aren't refused, and reports don't mention it
	Cut     []string      `json:"cut,omitempty"`     // holders whose calls get no response and take no effect
}

// refusesStarts reports whether the endpoint reports that it leaves and refuses
// starts.
func (f Faults) refusesStarts() bool { return f.Leaving && !f.Quiet }

// cutsOff reports whether calls of holder are lost.
func (f Faults) cutsOff(holder string) bool {
	for _, h := range f.Cut {
		if h == holder {
			return true
		}
	}
	return false
}
