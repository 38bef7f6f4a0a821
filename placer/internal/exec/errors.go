package exec

// StopError is the cause with which the context of a request is cancelled. Its
// reason goes into the final event.
type StopError struct{ Reason string } // a wire.Reason code

// Error implements error.
func (e *StopError) Error() string { return "stopped: " + e.Reason }
