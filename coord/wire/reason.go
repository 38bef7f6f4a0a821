package wire

// The reason codes of outcomes and rejections.
const (
	ReasonKey       = "key"       // the key is missing, unknown or withdrawn
	ReasonStale     = "stale"     // the host's configuration is not confirmed
	ReasonQueue     = "queue"     // the queue doesn't exist or isn't open to the team
	ReasonBusy      = "busy"      // no capacity before the deadline, or the queue is full
	ReasonLimit     = "limit"     // the team's upper limit is reached
	ReasonNever     = "never"     // too large for every endpoint of the cell or for the team's limit
	ReasonDeadline  = "deadline"  // the deadline passed
	ReasonLeaving   = "leaving"   // the process or the endpoint is shutting down
	ReasonRoute     = "route"     // no placer can be reached
	ReasonLost      = "lost"      // the answer was lost in transit
	ReasonShort     = "short"     // the answer was truncated
	ReasonError     = "error"     // the task failed
	ReasonCancel    = "cancel"    // the caller cancelled the request
	ReasonRecord    = "record"    // the record couldn't be replicated to a second host
	ReasonDuplicate = "duplicate" // a request with this id exists already
	ReasonGone      = "gone"      // the record has been deleted
	ReasonFenced    = "fenced"    // the sender no longer owns the endpoint
	ReasonSize      = "size"      // a message is too large
	ReasonInvalid   = "invalid"   // a message can't be parsed
)
