package owner

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
