package judge

import (
	"time"

	"github.com/balsamford/balsamford/standin/engine"
)

// Record holds all observations of one trial. It is saved as JSON under its
// field names.
type Record struct {
	Events    []engine.Event // of all endpoints, in order for each endpoint
	Calls     []Call
	Keys      []Key
	Limits    []Limit
	Exits     []Exit
	Versions  []Version
	Published []Published
	End       time.Time // when the last endpoint log was read
}

// Call is one request and its result as the caller observed them.
type Call struct {
	Tag  string // identifier chosen by the caller and logged by the endpoints
	ID   string // request ID returned by the system; empty if no reply had one
	Key  string // name of the key; empty for an open queue
	Team string // team of the key
	Kind string
	Once bool // not idempotent
	Sent time.Time
	// Accepted is true for a job that was accepted. Such a job must get an
	// outcome, unless its key was withdrawn, since its status can't be read then.
	Accepted bool
	Outcome  string // a wire.Outcome; empty without a reply
	Reason   string
	Whole    bool   // if done: the answer has the requested length
	Own      bool   // if done: the bytes are those of this request
	Gone     bool   // if done: the system no longer stores the answer
	Detail   string // what is wrong with the answer
}

// Key is an API key used in the trial.
type Key struct {
	Name      string
	Team      string
	Withdrawn time.Time // when its withdrawal was accepted; zero if never
}

// Limit is the upper limit of a team from a point in time on.
type Limit struct {
	Team  string
	Tasks int       // running at once
	From  time.Time // when it was accepted
}

// Exit is the end of one process.
type Exit struct {
	Process string
	Planned bool // stopped by SIGTERM without a later kill
	Code    int
}

// Version is a configuration version that a host reported as in force.
type Version struct {
	Host    string
	Seen    time.Time
	Version uint64
	Fresh   bool // the host reported ready, so that it considers the version current
}

// Published is a configuration version that was accepted.
type Published struct {
	Version  uint64
	Accepted time.Time
}
