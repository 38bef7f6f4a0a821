package calls

// LostError reports a call without a complete reply. Unsent is true if the
// request was never sent, so that the entry can't have received it; otherwise
// the outcome is unknown.
type LostError struct {
	Unsent bool
	Err    error
}

// Error implements error.
func (e *LostError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
