package remote

import "strconv"

// ReachError reports a door that didn't answer, or not in full.
type ReachError struct {
	Base string
	Err  error
}

// Error implements error.
func (e *ReachError) Error() string { return e.Base + " doesn't answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReachError) Unwrap() error { return e.Err }

// StatusError reports an answer that is no failure of the operators' door.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Body }

// AuthorityError reports a file that holds no certificate of an authority.
type AuthorityError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *AuthorityError) Error() string {
	if e.Err == nil {
		return e.Path + " holds no PEM certificate"
	}
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *AuthorityError) Unwrap() error { return e.Err }
