package serve

// InputError reports a caller's message that can't be understood.
type InputError struct{ Text string }

// Error implements error.
func (e *InputError) Error() string { return e.Text }
