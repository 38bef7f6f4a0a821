package remote

import "strconv"

// ReachError reports a request that got no response, or only part of one.
type ReachError struct {
	Base string
	Err  error
}

// Error implements error.
func (e *ReachError) Error() string { return e.Base + " doesn't answer: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ReachError) Unwrap() error { return e.Err }

// StatusError reports a response with an error status whose body isn't an
// admin.Failure, as those of the callers' API.
type StatusError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *StatusError) Error() string { return "status " + strconv.Itoa(e.Status) + ": " + e.Body }

// AuthorityError reports a certificate authority file that can't be read or, if Err is
// nil, holds no PEM certificate.
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
