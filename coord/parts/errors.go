package parts

// RowError reports an account that can't be encoded or decoded.
type RowError struct {
	Team string
	Err  error
}

// Error implements error.
func (e *RowError) Error() string { return "account of team " + e.Team + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// AbsentError reports that a holder has no entry in the account yet, although it
// may have adopted tasks of a dead holder. The dead holder can't be removed
// before the other one has called Settle.
type AbsentError struct{ Team, Holder string }

// Error implements error.
func (e *AbsentError) Error() string {
	return "holder " + e.Holder + " has no entry in the account of team " + e.Team
}
