package audit

// Action is what an operator asked for.
type Action string

// The actions.
const (
	Publish Action = "publish" // a whole configuration
	Set     Action = "set"     // some objects
	Delete  Action = "delete"  // some objects
	Drain   Action = "drain"   // no new work for a host
	Resume  Action = "resume"  // the end of a drain
	Read    Action = "read"    // a page of the operators' door
	Deny    Action = "deny"    // a request without a valid operator's key
)

// Verdict is what became of an action.
type Verdict string

// The verdicts.
const (
	Accepted  Verdict = "accepted"
	Refused   Verdict = "refused"   // it was wrong in itself
	Conflict  Verdict = "conflict"  // another change came first
	Unchanged Verdict = "unchanged" // it changes nothing
)
