package httpd

// ListenError reports that the server could not listen on Address, or that its
// event loops failed.
type ListenError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// GoneError reports that the client closed its connection or stopped reading.
type GoneError struct{}

// Error implements error.
func (*GoneError) Error() string { return "the caller is gone" }
