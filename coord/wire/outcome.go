package wire

// Outcome is the final word on a request.
type Outcome string

// The outcomes. NotRun is given only if no start can have reached an endpoint
// and none will.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)
