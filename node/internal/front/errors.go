package front

import "fmt"

// UnknownOutcomeError reports a write that is in doubt: it may have been committed, or
// may still be committed later.
type UnknownOutcomeError struct{ Err error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of a write is unknown: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// RowSizeError reports a job whose rows are larger than the store allows.
type RowSizeError struct{ Size, Most int } // in bytes

// Error implements error.
func (e *RowSizeError) Error() string {
	return fmt.Sprintf("job: it takes %d bytes in the store, at most %d are allowed", e.Size, e.Most)
}
