package httpd

// ListenError reports an address that can't be served.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// GoneError reports a caller that closed its connection.
type GoneError struct{}

// Error implements error.
func (*GoneError) Error() string { return "the caller is gone" }
