package peers

// BusyError reports that all hosts have too many questions before them.
type BusyError struct{}

// Error implements error.
func (e *BusyError) Error() string { return "all hosts have too many questions to the adviser" }
