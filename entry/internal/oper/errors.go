package oper

// ListenError reports that listening on an address or loading its certificate
// failed.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string {
	return "operator API on " + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *ListenError) Unwrap() error { return e.Err }
