package queue

// ExpiredError reports a request whose deadline passed while it was queued. It
// hasn't run and won't run.
type ExpiredError struct{ ID string }

// Error implements error.
func (e *ExpiredError) Error() string { return "deadline of " + e.ID + " passed in the queue" }

// MovedError reports a queued request that no executor of this placer can run
// any more, because they left or have another owner now. It hasn't run here and
// won't run here.
type MovedError struct{ ID string }

// Error implements error.
func (e *MovedError) Error() string { return "no executor is left here for " + e.ID }
