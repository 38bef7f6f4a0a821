package wire

// Phase is the lifecycle state of a request or a task.
type Phase string

// The phases, in the order in which a request goes through them.
const (
	Queued  Phase = "queued"
	Sent    Phase = "sent" // a start may have been sent to an endpoint
	Running Phase = "running"
	Ended   Phase = "ended"
)
