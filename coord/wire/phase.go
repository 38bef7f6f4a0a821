package wire

// Phase is where a request or task stands.
type Phase string

// The phases in the order in which they are passed.
const (
	Queued  Phase = "queued"
	Sent    Phase = "sent" // a start may have left for an endpoint
	Running Phase = "running"
	Ended   Phase = "ended"
)
