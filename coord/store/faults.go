package store

import "time"

// Faults are the fault switches of a Memory. The zero value is a platform
// that is well. Durations are nanoseconds in JSON.
type Faults struct {
	Down bool          `json:"down,omitempty"` // nothing is answered, nothing takes effect
	Slow time.Duration `json:"slow,omitempty"` // added before each call takes effect
	Lose bool          `json:"lose,omitempty"` // writes take effect, their answers are lost
	Next int           `json:"next,omitempty"` // the answers of only so many further writes are lost
	Drop int           `json:"drop,omitempty"` // so many further writes are lost before they take effect
	Late time.Duration `json:"late,omitempty"` // writes are answered as lost and take effect so much later
	Lag  time.Duration `json:"lag,omitempty"`  // how far the object store lags behind the table
	List time.Duration `json:"list,omitempty"` // how far the list of hosts lags, if above the option's
}
