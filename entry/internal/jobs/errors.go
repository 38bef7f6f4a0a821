package jobs

// UnknownError reports a job that neither this host nor the platform has.
type UnknownError struct{ ID string }

// Error implements error.
func (e *UnknownError) Error() string { return "job " + e.ID + " is not known" }

// RowError reports a row that can't be encoded or decoded.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return "job row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
