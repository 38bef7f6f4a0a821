package exec

// StopError is the cause with which a request's context is cancelled if it
// isn't the caller who left.
type StopError struct{ Reason string } // a wire.Reason code

// Error implements error.
func (e *StopError) Error() string { return "stopped: " + e.Reason }
