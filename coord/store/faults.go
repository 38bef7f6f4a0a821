package store

import "time"

// Faults configures the faults that a Memory injects. The zero value injects
// none. Durations are nanoseconds in JSON.
type Faults struct {
	Down bool          `json:"down,omitempty"` // all calls fail without effect
	Slow time.Duration `json:"slow,omitempty"` // delay before each call takes effect
	Lose bool          `json:"lose,omitempty"` // writes take effect but fail: their responses are lost
	Next int           `json:"next,omitempty"` // like Lose, for this number of further writes
	Drop int           `json:"drop,omitempty"` // this number of further writes fails without effect
	Late time.Duration `json:"late,omitempty"` // writes fail at once and take effect after this delay
	Lag  time.Duration `json:"lag,omitempty"`  // minimum delay until a put object becomes visible
	List time.Duration `json:"list,omitempty"` // minimum delay until a change to the list of hosts becomes visible
}
