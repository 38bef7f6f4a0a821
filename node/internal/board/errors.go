package board

// EncodeError reports a row value that can't be encoded.
type EncodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *EncodeError) Error() string { return "encode row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Err }

// DecodeError reports a row whose value can't be decoded.
type DecodeError struct {
	Table string
	Key   string
	Err   error
}

// Error implements error.
func (e *DecodeError) Error() string {
	return "decode row " + e.Key + " of table " + e.Table + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }
