package board

// EncodeError reports a value that can't be written.
type EncodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string { return "encode row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// DecodeError reports a row that can't be understood.
type DecodeError struct {
	Table string
	Key   string
	Err   error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "row " + e.Key + " of " + e.Table + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
