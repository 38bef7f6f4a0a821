package record

// NoPeerError reports that no other entry host is configured.
type NoPeerError struct{}

// Error implements error.
func (*NoPeerError) Error() string { return "no other entry host is configured" }

// UnresponsiveError reports a call that was not made because the host recently
// failed to answer another one.
type UnresponsiveError struct{ Host string }

// Error implements error.
func (e *UnresponsiveError) Error() string { return e.Host + " did not answer a recent call" }

// UnknownOpError reports a call with an unknown Op.
type UnknownOpError struct{ Op string }

// Error implements error.
func (e *UnknownOpError) Error() string { return "unknown record call " + e.Op }

// RowError reports a row that can't be encoded or decoded.
type RowError struct {
	Key string
	Err error
}

// Error implements error.
func (e *RowError) Error() string { return "record row " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *RowError) Unwrap() error { return e.Err }
