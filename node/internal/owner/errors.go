package owner

import "time"

// LostError ends a term: another host owns the cell.
type LostError struct {
	Epoch int64  // of this term
	Host  string // that owns the cell now, empty if unknown
}

// Error implements error.
func (e *LostError) Error() string { return "ownership is lost to " + e.Host }

// StopError ends a term because the process stops.
type StopError struct{}

// Error implements error.
func (e *StopError) Error() string { return "the process stops" }

// NoOwnerError reports that nobody can be asked as the cell's owner.
type NoOwnerError struct {
	Epoch int64 // of the last one
	Mute  bool  // it didn't answer a moment ago
}

// Error implements error.
func (e *NoOwnerError) Error() string {
	if e.Mute {
		return "the owner didn't answer a moment ago"
	}
	return "no owner is known"
}

// PatienceError reports a write whose answer isn't waited for any longer. It may
// have been done, or be done later.
type PatienceError struct{ Waited time.Duration }

// Error implements error.
func (e *PatienceError) Error() string { return "no answer to a write for " + e.Waited.String() }
