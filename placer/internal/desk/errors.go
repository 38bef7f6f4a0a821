package desk

// ExpiredError reports a request whose deadline passed in the queue; it has
// not run and will not.
type ExpiredError struct{ ID string }

// Error implements error.
func (e *ExpiredError) Error() string { return "deadline of " + e.ID + " passed in the queue" }

// MovedError reports a request that waited until the executors which could
// run it had gone to another placer; it has not run here and will not.
type MovedError struct{ ID string }

// Error implements error.
func (e *MovedError) Error() string { return "no executor is left here for " + e.ID }
