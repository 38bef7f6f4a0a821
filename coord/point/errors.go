package point

import "strconv"

// FencedError reports that the caller isn't the endpoint's owner. Nothing was
// done.
type FencedError struct {
	Owner Owner `json:"owner"` // the present one
	Held  bool  `json:"held"`  // an Open came within the present owner's term
}

// Error implements error.
func (e *FencedError) Error() string { return "endpoint belongs to " + e.Owner.Holder }

// RefusedError reports that the endpoint didn't start the task; it has not
// run there and will not.
type RefusedError struct {
	Endpoint string
	Reason   string // a wire.Reason code: busy or leaving
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Endpoint + " refused: " + e.Reason }

// LostError reports a call whose answer didn't come whole; it may have taken
// effect unless Unsent is true.
type LostError struct {
	Endpoint string
	Unsent   bool
	Err      error
}

// Error implements error.
func (e *LostError) Error() string { return e.Endpoint + ": answer lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// FailedError reports a task that ran on an executor and ended in a state
// other than Done.
type FailedError struct {
	Endpoint string `json:"endpoint"`
	ID       string `json:"id"`
	State    State  `json:"state"`
	Code     int    `json:"code"`
}

// Error implements error.
func (e *FailedError) Error() string {
	return e.ID + " on " + e.Endpoint + ": " + string(e.State)
}

// AnswerError is the cause of a LostError whose answer came, but not whole or
// not for the task that was asked for.
type AnswerError struct {
	Field string // ID, size or sum
	Want  string
	Got   string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return "answer has " + e.Field + " " + e.Got + " in place of " + e.Want
}

// StatusError is the cause of a LostError whose answer has a status that the
// interface doesn't have.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }
