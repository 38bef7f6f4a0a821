package advice

// BusyError reports that all hosts have too many requests to the adviser queued.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "all hosts have too many queued requests to the adviser" }
