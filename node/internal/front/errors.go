package front

// UnknownOutcomeError reports a write that is in doubt: it may have been committed, or
// may still be committed later.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of a write is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
