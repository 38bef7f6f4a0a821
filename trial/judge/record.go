package judge

import (
	"time"

	"github.com/balsamford/balsamford/standin/engine"
)

// Record is all that was seen of one run.
type Record struct {
	Events    []engine.Event // of all endpoints, each endpoint's in their order
	Calls     []Call
	Keys      []Key
	Limits    []Limit
	Exits     []Exit
	Versions  []Version
	Published []Published
	End       time.Time // when the last of the endpoints' logs was read
}

// Call is one request as its caller saw it.
type Call struct {
	Tag  string // the caller's own name of it, which the endpoints log
	ID   string // as the system named it; empty if no answer named it
	Key  string // the key's name; empty in an open queue
	Team string // of the key
	Kind string
	Once bool // not idempotent
	Sent time.Time
	// Accepted is true for a job that was accepted. It has to have an outcome
	// in the end, unless its key was withdrawn, so that nobody could ask.
	Accepted bool
	Outcome  string // wire.Outcome; empty if no answer came
	Reason   string
	Whole    bool   // with done: as many bytes as the caller asked for
	Own      bool   // with done: the very bytes of its own request
	Gone     bool   // with done: the answer itself is no longer kept
	Detail   string // what is wrong with the answer
}

// Key is a key of the run.
type Key struct {
	Name      string
	Team      string
	Withdrawn time.Time // when its withdrawal was accepted; zero if it wasn't
}

// Limit is a team's upper limit from a moment on.
type Limit struct {
	Team  string
	Tasks int
	From  time.Time // when it was accepted
}

// Exit is the end of one process.
type Exit struct {
	Process string
	Planned bool // it was asked to stop, and not killed
	Code    int
}

// Version is a configuration version that a host said to be in force there.
type Version struct {
	Host    string
	Seen    time.Time
	Version uint64
	Fresh   bool
}

// Published is a configuration version that was accepted.
type Published struct {
	Version  uint64
	Accepted time.Time
}
