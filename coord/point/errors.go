package point

import "strconv"

// FencedError reports that the caller isn't the endpoint's owner. The call had
// no effect.
type FencedError struct {
	Owner Owner `json:"owner"` // the current owner
	Held  bool  `json:"held"`  // the call was an Open, and the current owner's term hasn't ended
}

// Error implements error.
func (e *FencedError) Error() string { return "endpoint belongs to " + e.Owner.Holder }

// RefusedError reports that the endpoint rejected a task. The task has not run
// there and will not.
type RefusedError struct {
	Endpoint string
	Reason   string // a wire.Reason code: busy, leaving or invalid
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Endpoint + " refused: " + e.Reason }

// LostError reports a call without a complete answer. If Unsent is true, the
// request was not sent; otherwise the outcome is unknown and the call may have
// taken effect.
type LostError struct {
	Endpoint string
	Unsent   bool
	Err      error
}

// Error implements error.
func (e *LostError) Error() string { return e.Endpoint + ": answer lost: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// FailedError reports that a task ran on an executor and ended in a state other
// than Done.
type FailedError struct {
	Endpoint string `json:"endpoint"`
	ID       string `json:"id"`
	State    State  `json:"state"`
	Code     int    `json:"code"` // exit code
}

// Error implements error.
func (e *FailedError) Error() string {
	return e.ID + " on " + e.Endpoint + ": " + string(e.State)
}

// AnswerError is the cause of a LostError whose answer was truncated or corrupt,
// or belongs to another task.
type AnswerError struct {
	Field string // the field that doesn't match: ID, size or sum
	Want  string
	Got   string
}

// Error implements error.
func (e *AnswerError) Error() string {
	return "answer has " + e.Field + " " + e.Got + " in place of " + e.Want
}

// StatusError is the cause of a LostError whose answer has an unexpected HTTP
// status, or a body that doesn't match its status.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) }
