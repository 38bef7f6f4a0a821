package sched

// RefusedError reports that a request was rejected: it is not queued and will
// not run.
type RefusedError struct {
	ID     string
	Reason string // a wire.Reason code: never, busy, deadline, limit or duplicate
	Detail string // names the resource, queue bound or limit
	Team   bool   // the team's limit is the cause, so that every placer would refuse it
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request " + e.ID + " refused: " + e.Reason + ": " + e.Detail
}
