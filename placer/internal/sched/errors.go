package sched

// RefusedError reports a request that was not queued and will not run.
type RefusedError struct {
	ID     string
	Reason string // a wire.Reason code: never, busy, deadline, limit or duplicate
	Detail string // which resource, bound or limit
	Team   bool   // its team's limit forbids it, at any placer
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "request " + e.ID + " refused: " + e.Reason + ": " + e.Detail
}
