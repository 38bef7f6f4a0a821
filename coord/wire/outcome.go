package wire

// Outcome is the final result of a request or a task.
type Outcome string

// The outcomes. NotRun is reported only if no start can have reached an endpoint
// and none will. Unknown is reported if the request may have run and its result
// can't be determined.
const (
	Done    Outcome = "done"
	Failed  Outcome = "failed"
	NotRun  Outcome = "notrun"
	Unknown Outcome = "unknown"
)
