package audit

// Action is the kind of an operator's request.
type Action string

// The actions.
const (
	Publish Action = "publish" // replace the whole configuration
	Set     Action = "set"     // create or replace some objects
	Delete  Action = "delete"  // delete some objects
	Drain   Action = "drain"   // stop giving new work to a host
	Resume  Action = "resume"  // end a drain
	Read    Action = "read"    // read from the operators' interface
	Deny    Action = "deny"    // request without a valid operator key
)

// Verdict is the result of an action.
type Verdict string

// The verdicts.
const (
	Accepted  Verdict = "accepted"
	Refused   Verdict = "refused"   // the request was invalid
	Conflict  Verdict = "conflict"  // a concurrent change came first
	Unchanged Verdict = "unchanged" // the request made no difference
)
