package dial

// Error reports that a connection to Address could not be established, so that
// nothing was sent.
type Error struct {
	Address string
	Err     error
}

// Error implements error.
func (e *Error) Error() string { return "connect to " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
