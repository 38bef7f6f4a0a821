package desk

// ExpiredError reports a request whose deadline passed in the queue; it has
// not run and will not.
type ExpiredError struct{ ID string }

// Error implements error.
func (e *ExpiredError) Error() string { return "deadline of " + e.ID + " passed in the queue" }
