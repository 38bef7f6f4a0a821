package front

// UnknownError reports a write of which it isn't known whether it was or will be
// done.
type UnknownError struct{ Err error }

// Error implements error.
func (e *UnknownError) Error() string { return "outcome of a write is unknown: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }
