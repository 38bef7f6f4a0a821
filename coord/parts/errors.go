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
