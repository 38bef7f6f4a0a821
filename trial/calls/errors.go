package calls

// LostError reports a call without a whole answer. Unsent is true if the
// entry can't have seen it.
type LostError struct {
	Unsent bool
	Err    error
}

// Error implements error.
func (e *LostError) Error() string { return "no answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
