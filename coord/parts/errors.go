package parts

// RowError reports an account that can't be read.
type RowError struct {
	Team string
	Err  error
}

// Error implements error.
func (e *RowError) Error() string { return "account of team " + e.Team + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }

// AbsentError reports that a holder which may have adopted tasks of a dead one
// has no entry in the account yet. It has to Settle first.
type AbsentError struct{ Team, Holder string }

// Error implements error.
func (e *AbsentError) Error() string {
	return "holder " + e.Holder + " has no entry in the account of team " + e.Team
}
