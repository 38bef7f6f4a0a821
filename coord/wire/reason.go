package wire

// The reasons that outcomes and refusals carry.
const (
	ReasonKey       = "key"       // no key, an unknown or a withdrawn one
	ReasonStale     = "stale"     // the host's configuration is not confirmed
	ReasonQueue     = "queue"     // no such queue, or not this team's
	ReasonBusy      = "busy"      // no room before the deadline, or the queue is full
	ReasonLimit     = "limit"     // the team's upper limit is reached
	ReasonNever     = "never"     // fits no endpoint of the cell, or not the limit of its team
	ReasonDeadline  = "deadline"  // the deadline passed
	ReasonLeaving   = "leaving"   // the process or the endpoint is leaving
	ReasonRoute     = "route"     // no placer can be reached
	ReasonLost      = "lost"      // the answer was lost on its way
	ReasonShort     = "short"     // the answer was cut short
	ReasonError     = "error"     // the task failed
	ReasonCancel    = "cancel"    // the caller cancelled
	ReasonRecord    = "record"    // no second host could hold the record
	ReasonDuplicate = "duplicate" // a request with this id is known
	ReasonGone      = "gone"      // the record is no longer kept
	ReasonFenced    = "fenced"    // the sender no longer owns the endpoint
	ReasonSize      = "size"      // a message is too large
	ReasonInvalid   = "invalid"   // a message can't be understood
)
