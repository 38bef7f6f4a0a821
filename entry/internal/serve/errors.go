package serve

// InputError reports a malformed request from a caller.
type InputError struct{ Text string }

// Error implements error.
func (e *InputError) Error() string { return e.Text }
